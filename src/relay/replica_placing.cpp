#include <knapweedchute/relay/replica_placing.hpp>

#include <algorithm>
#include <utility>

namespace knapweedchute {

replica_placing::replica_placing(relay_policy policy, std::string own_zone,
                                 const target_registry& registry, const exchange_port& port,
                                 const cold_limiter& cold, std::uint64_t seed)
    : policy_{policy}, own_zone_{std::move(own_zone)}, registry_{&registry}, port_{&port},
      cold_{&cold}, random_{seed}
{
}

auto replica_placing::choose(const std::string& service, const std::vector<std::string>& tried,
                             time_point now) -> placement
{
    const auto* rule = registry_->rule_for(service);
    const auto wanted = version_for(rule, service, tried.empty());
    auto best = best_of(service, tried, rule, wanted, now);
    if (!best.target && wanted == version_choice::only_new) {
        const auto all = rule->use == version_use::preferred;
        best = best_of(service, tried, rule, all ? version_choice::any : version_choice::only_old,
                       now);
    }
    return best;
}

auto replica_placing::version_for(const version_rule* rule, const std::string& service, bool first)
    -> version_choice
{
    if (rule == nullptr || rule->use == version_use::held) {
        return version_choice::any;
    }
    if (rule->use == version_use::preferred) {
        return version_choice::only_new;
    }
    const auto on_trial = first && splits_[service].next_is_new(rule->share_permil);
    return on_trial ? version_choice::only_new : version_choice::only_old;
}

auto replica_placing::best_of(const std::string& service, const std::vector<std::string>& tried,
                              const version_rule* rule, version_choice wanted, time_point now)
    -> placement
{
    auto best = placement{};
    for (const auto& target : registry_->usable(service)) {
        const auto unwanted =
            wanted != version_choice::any &&
            (target->version == rule->version) != (wanted == version_choice::only_new);
        if (unwanted || std::find(tried.begin(), tried.end(), target->id) != tried.end()) {
            continue;
        }
        const auto room = cold_->room(*target, now);
        if (room != target_room::now || !port_->has_room(*target)) {
            best.only_full = best.only_full || room != target_room::none;
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
        return item.second.in_flight() == 0 && !registry_->contains(item.first);
    });
}

auto replica_placing::cost(const target_record& target, time_point now) -> double
{
    auto spread = std::uniform_real_distribution<double>{1.0, 1.0 + policy_.cost_spread};
    const auto zone = target.availability_zone == own_zone_ ? 0.0 : policy_.zone_cost;
    return (load(target.id).cost(now) + zone) * spread(random_);
}

} // namespace knapweedchute
