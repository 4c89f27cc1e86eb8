#include <knapweedchute/relay/route_pace.hpp>

#include <algorithm>

namespace knapweedchute {
namespace {

/// Part of a route's goal that one target is expected to need before anything is known.
constexpr auto goal_divisor = 5;
/// Part of a new observation in the usual time, as a divisor.
constexpr auto weight_divisor = 24;
/// Bound of one observation as a multiple of the usual time: stragglers do not set the pace.
constexpr auto largest_multiple = 3;
/// Multiple of the usual time after which a request straggles.
constexpr auto straggling_multiple = 1.5;

} // namespace

auto route_pace::on_answer(const route& of, duration elapsed) -> void
{
    const auto before = usual(of);
    const auto seen = std::min(elapsed, before * largest_multiple);
    usual_[of.name] = before + (seen - before) / weight_divisor;
}

auto route_pace::usual(const route& of) const -> duration
{
    const auto known = usual_.find(of.name);
    return known == usual_.end() ? duration{of.latency_goal} / goal_divisor : known->second;
}

auto route_pace::straggling_after(const route& of) const -> duration
{
    return std::chrono::duration_cast<duration>(usual(of) * straggling_multiple);
}

} // namespace knapweedchute
