#include <knapweedchute/relay/route_latency.hpp>

#include <algorithm>

namespace knapweedchute {
namespace {

/// Divisor of the latency goal that gives the typical latency before the first answer.
constexpr auto goal_divisor = 5;
/// Divisor that gives the weight of a new answer in the moving average.
constexpr auto weight_divisor = 24;
/// Maximum of one observation, as a multiple of the typical latency: limits the influence of
/// stragglers.
constexpr auto max_multiple = 3;
/// Multiple of the typical latency after which a request counts as a straggler.
constexpr auto straggler_multiple = 1.5;

} // namespace

auto route_latency::on_answer(const route& matched_route, duration elapsed) -> void
{
    const auto previous = typical(matched_route);
    const auto bounded = std::min(elapsed, previous * max_multiple);
    typical_[matched_route.name] = previous + (bounded - previous) / weight_divisor;
}

auto route_latency::typical(const route& matched_route) const -> duration
{
    const auto found = typical_.find(matched_route.name);
    return found == typical_.end() ? duration{matched_route.latency_goal} / goal_divisor
                                   : found->second;
}

auto route_latency::straggler_threshold(const route& matched_route) const -> duration
{
    return std::chrono::duration_cast<duration>(typical(matched_route) * straggler_multiple);
}

} // namespace knapweedchute
