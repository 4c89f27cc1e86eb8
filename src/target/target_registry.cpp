#include <knapweedchute/target/target_registry.hpp>

#include <algorithm>
#include <utility>

namespace knapweedchute {
namespace {

/// How late an entry may come at one time and not at another: the end of a warm-up that is worked
/// out from it moves by as much.
constexpr auto warm_up_tolerance = milliseconds{500};

auto says_the_same(const target_record& known, target_record said) -> bool
{
    const auto moved = known.cold_until > said.cold_until ? known.cold_until - said.cold_until
                                                          : said.cold_until - known.cold_until;
    if (moved <= warm_up_tolerance) {
        said.cold_until = known.cold_until;
    }
    return known == said;
}

} // namespace

auto target_registry::put(target_record record) -> bool
{
    const auto known = entries_.find(record.id);
    if (known != entries_.end() && !known->second.hold_until &&
        says_the_same(*known->second.record, record)) {
        return false;
    }
    const auto disowned = known != entries_.end() && known->second.disowned &&
                          known->second.record->born_unix_ms == record.born_unix_ms;
    if (known != entries_.end()) {
        unlist(known->second);
    }
    auto shared = std::make_shared<const target_record>(std::move(record));
    auto& list = by_service_[shared->service];
    list.all.push_back(shared);
    list.current = false;
    const auto id = shared->id;
    entries_[id] = {std::move(shared), std::nullopt, disowned};
    return true;
}

auto target_registry::remove(const std::string& id, std::optional<time_point> hold_until) -> void
{
    const auto known = entries_.find(id);
    if (known == entries_.end()) {
        return;
    }
    if (hold_until) {
        known->second.hold_until = known->second.hold_until.value_or(*hold_until);
        return;
    }
    unlist(known->second);
    entries_.erase(known);
}

auto target_registry::keep_only(const std::set<std::string>& ids,
                                std::optional<time_point> hold_until) -> void
{
    auto gone = std::vector<std::string>{};
    for (const auto& [id, known] : entries_) {
        if (!ids.contains(id)) {
            gone.push_back(id);
        }
    }
    for (const auto& id : gone) {
        remove(id, hold_until);
    }
}

auto target_registry::disown(const std::string& id, std::int64_t born_unix_ms) -> void
{
    const auto known = entries_.find(id);
    if (known != entries_.end() && known->second.record->born_unix_ms == born_unix_ms) {
        known->second.disowned = true;
        by_service_[known->second.record->service].current = false;
    }
}

auto target_registry::expire(time_point now) -> void
{
    auto over = std::vector<std::string>{};
    for (const auto& [id, known] : entries_) {
        if (known.hold_until && now >= *known.hold_until) {
            over.push_back(id);
        }
    }
    for (const auto& id : over) {
        remove(id, std::nullopt);
    }
}

auto target_registry::take_zone_out(const std::string& zone, bool out) -> void
{
    if (out) {
        zones_out_.insert(zone);
    } else {
        zones_out_.erase(zone);
    }
    forget_usable();
}

auto target_registry::set_version_rule(const std::string& service, std::optional<version_rule> rule)
    -> void
{
    if (rule) {
        version_rules_[service] = std::move(*rule);
    } else {
        version_rules_.erase(service);
    }
    by_service_[service].current = false;
}

auto target_registry::rule_of(const std::string& service) const -> const version_rule*
{
    const auto known = version_rules_.find(service);
    return known == version_rules_.end() ? nullptr : &known->second;
}

auto target_registry::usable(const std::string& service) const -> const target_list&
{
    static const auto none = target_list{};
    const auto known = by_service_.find(service);
    if (known == by_service_.end()) {
        return none;
    }
    const auto& list = known->second;
    if (!list.current) {
        list.usable.clear();
        std::copy_if(list.all.begin(), list.all.end(), std::back_inserter(list.usable),
                     [this](const auto& record) { return may_use(*record); });
        list.current = true;
    }
    return list.usable;
}

auto target_registry::may_use(const target_record& record) const -> bool
{
    const auto known = entries_.find(record.id);
    const auto* rule = rule_of(record.service);
    if (rule != nullptr && rule->use == version_use::held && rule->version == record.version) {
        return false;
    }
    return known != entries_.end() && !known->second.disowned &&
           known->second.record->born_unix_ms == record.born_unix_ms &&
           known->second.record->service == record.service && !known->second.record->draining &&
           !zones_out_.contains(record.availability_zone);
}

auto target_registry::unlist(const entry& known) -> void
{
    auto& list = by_service_[known.record->service];
    std::erase(list.all, known.record);
    list.current = false;
}

auto target_registry::forget_usable() -> void
{
    for (auto& [service, list] : by_service_) {
        list.current = false;
    }
}

} // namespace knapweedchute
