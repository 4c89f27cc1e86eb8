#include <knapweedchute/relay/target_selector.hpp>

#include <algorithm>
#include <utility>

namespace knapweedchute {

target_selector::target_selector(relay_policy policy, std::string own_zone,
                                 const target_registry& registry, const exchange_port& port,
                                 const cold_limiter& cold, std::uint64_t seed)
    : policy_{policy}, own_zone_{std::move(own_zone)}, registry_{&registry}, port_{&port},
      cold_{&cold}, random_{seed}
{
}

auto target_selector::select_target(const std::string& service,
                                    const std::vector<std::string>& tried, time_point now,
                                    const zone_preference& preference) -> selection
{
    const auto* rule = registry_->rule_for(service);
    const auto filter = choose_versions(rule, service, tried.empty());
    auto best = find_best(service, tried, rule, filter, now, preference);
    if (!best.target && filter == version_filter::only_new) {
        const auto any_version = rule->use == version_use::preferred;
        best = find_best(service, tried, rule,
                         any_version ? version_filter::any : version_filter::only_old, now,
                         preference);
    }
    return best;
}

auto target_selector::choose_versions(const version_rule* rule, const std::string& service,
                                      bool first_send) -> version_filter
{
    if (rule == nullptr || rule->use == version_use::held) {
        return version_filter::any;
    }
    if (rule->use == version_use::preferred) {
        return version_filter::only_new;
    }
    const auto use_new = first_send && splits_[service].next_is_new(rule->share_permil);
    return use_new ? version_filter::only_new : version_filter::only_old;
}

auto target_selector::find_best(const std::string& service, const std::vector<std::string>& tried,
                                const version_rule* rule, version_filter filter, time_point now,
                                const zone_preference& preference) -> selection
{
    auto best = selection{};
    auto best_is_preferred = false;
    for (const auto& target : registry_->usable(service)) {
        const auto excluded =
            filter != version_filter::any &&
            (target->version == rule->version) != (filter == version_filter::only_new);
        if (excluded || std::find(tried.begin(), tried.end(), target->id) != tried.end()) {
            continue;
        }
        if (const auto pause_end = backoff_.end(*target, now)) {
            best.pause_end = std::min(best.pause_end.value_or(*pause_end), *pause_end);
            continue;
        }
        const auto capacity = cold_->capacity(*target, now);
        if (capacity != target_capacity::now || !port_->has_capacity(*target)) {
            best.at_capacity = best.at_capacity || capacity != target_capacity::none;
            continue;
        }
        const auto expected_cost = cost(*target, now);
        const auto preferred = is_preferred(*target, preference, now);
        if (!best.target || (preferred && !best_is_preferred) ||
            (preferred == best_is_preferred && expected_cost < best.cost)) {
            best.target = target;
            best.cost = expected_cost;
            best_is_preferred = preferred;
        }
    }
    return best;
}

auto target_selector::load(const std::string& target_id) -> replica_load&
{
    return loads_[target_id];
}

auto target_selector::remove_unused(time_point now) -> void
{
    backoff_.remove_ended(now);
    std::erase_if(loads_, [this](const auto& item) {
        return item.second.in_flight() == 0 && !registry_->contains(item.first);
    });
}

auto target_selector::is_preferred(const target_record& target, const zone_preference& preference,
                                   time_point now) -> bool
{
    const auto own = target.availability_zone == own_zone_;
    switch (preference.choice) {
    case zone_choice::by_cost:
        return true;
    case zone_choice::stay:
        return own && load(target.id).trouble(now) < policy_.dark_cost;
    case zone_choice::leave:
        break;
    }
    const auto closed = std::find(preference.closed.begin(), preference.closed.end(),
                                  target.availability_zone) != preference.closed.end();
    const auto allowed = std::max<std::int64_t>(target.slots / policy_.helper_slots_divisor, 1);
    return !own && !closed && static_cast<std::int64_t>(load(target.id).in_flight()) < allowed;
}

auto target_selector::cost(const target_record& target, time_point now) -> double
{
    auto spread = std::uniform_real_distribution<double>{1.0, 1.0 + policy_.cost_spread};
    const auto zone = target.availability_zone == own_zone_ ? 0.0 : policy_.zone_cost;
    return (load(target.id).cost(now) + zone) * spread(random_);
}

} // namespace knapweedchute
