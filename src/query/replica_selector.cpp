#include <knapweedchute/query/replica_selector.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace knapweedchute {
namespace {

constexpr auto initial_latency = std::chrono::milliseconds{1};

} // namespace

least_cost_selector::least_cost_selector(std::string own_zone, duration zone_penalty)
    : own_zone_{std::move(own_zone)}, zone_penalty_{zone_penalty}
{
}

auto least_cost_selector::select(const std::vector<target_state*>& candidates, time_point now,
                                 std::mt19937_64& random) const -> target_state*
{
    const auto cost = [&](const target_state& target) {
        const auto known = target.latency != duration::zero();
        const auto latency = known ? target.latency : duration{initial_latency};
        const auto allowance = std::max<std::int64_t>(target.allowance(now), 1);
        const auto used_share =
            static_cast<double>(target.in_flight + 1) / static_cast<double>(allowance);
        const auto in_own_zone = target.spec.availability_zone == own_zone_;
        return static_cast<double>(latency.count()) * used_share +
               (in_own_zone ? 0.0 : static_cast<double>(zone_penalty_.count()));
    };
    auto* best = candidates.front();
    auto lowest_cost = std::numeric_limits<double>::max();
    const auto offset = random() % candidates.size();
    for (auto index = std::size_t{0}; index < candidates.size(); ++index) {
        auto* candidate = candidates[(index + offset) % candidates.size()];
        const auto candidate_cost = cost(*candidate);
        if (candidate_cost < lowest_cost) {
            lowest_cost = candidate_cost;
            best = candidate;
        }
    }
    return best;
}

auto random_selector::select(const std::vector<target_state*>& candidates, time_point /*now*/,
                             std::mt19937_64& random) const -> target_state*
{
    return candidates[random() % candidates.size()];
}

} // namespace knapweedchute
