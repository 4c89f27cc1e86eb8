#include <knapweedchute/relay/replica_placing.hpp>

#include <algorithm>
#include <utility>

namespace knapweedchute {

replica_placing::replica_placing(relay_policy policy, std::string own_zone,
                                 const target_registry& registry, const exchange_port& port,
                                 std::uint64_t seed)
    : policy_{policy}, own_zone_{std::move(own_zone)}, registry_{&registry}, port_{&port}, random_{
                                                                                               seed}
{
}

auto replica_placing::choose(const std::string& service, const std::vector<std::string>& tried,
                             time_point now) -> placement
{
    auto best = placement{};
    for (const auto& target : registry_->usable(service)) {
        if (std::find(tried.begin(), tried.end(), target->id) != tried.end()) {
            continue;
        }
        if (!port_->has_room(*target)) {
            best.only_full = true;
            continue;
        }
        const auto expected = cost(*target, now);
        if (!best.target || expected < best.cost) {
            best.target = target;
            best.cost = expected;
        }
    }
    return best;
}

auto replica_placing::load(const std::string& target_id) -> replica_load&
{
    return loads_[target_id];
}

auto replica_placing::forget_unknown() -> void
{
    std::erase_if(loads_, [this](const auto& item) {
        return item.second.in_flight() == 0 && !registry_->knows(item.first);
    });
}

auto replica_placing::cost(const target_record& target, time_point now) -> double
{
    auto spread = std::uniform_real_distribution<double>{1.0, 1.0 + policy_.cost_spread};
    const auto zone = target.availability_zone == own_zone_ ? 0.0 : policy_.zone_cost;
    return (load(target.id).cost(now) + zone) * spread(random_);
}

} // namespace knapweedchute
