#include <knapweedchute/target/target_registry.hpp>

#include <algorithm>
#include <utility>

namespace knapweedchute {
namespace {

// The end of a warm-up is computed from the time at which the entry is received, so a varying delay
// moves it although the entry is unchanged.
constexpr auto warm_up_tolerance = milliseconds{500};
/// Time for which an announced shutdown is remembered although the target has no entry.
constexpr auto leaving_retention = std::chrono::minutes{10};

auto is_unchanged(const target_record& known, target_record received) -> bool
{
    const auto difference = known.cold_until > received.cold_until
                                ? known.cold_until - received.cold_until
                                : received.cold_until - known.cold_until;
    if (difference <= warm_up_tolerance) {
        received.cold_until = known.cold_until;
    }
    return known == received;
}

} // namespace

auto target_registry::insert_or_update(target_record record) -> bool
{
    const auto known = entries_.find(record.id);
    if (known != entries_.end() && !known->second.hold_until &&
        is_unchanged(*known->second.record, record)) {
        return false;
    }
    const auto stale = known != entries_.end() && known->second.stale &&
                       known->second.record->start_unix_ms == record.start_unix_ms;
    if (known != entries_.end()) {
        remove_from_service(known->second);
    }
    auto shared = std::make_shared<const target_record>(std::move(record));
    auto& list = by_service_[shared->service];
    list.all.push_back(shared);
    list.usable_valid = false;
    const auto id = shared->id;
    entries_[id] = {std::move(shared), std::nullopt, stale};
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
    remove_from_service(known->second);
    entries_.erase(known);
}

auto target_registry::keep_only(const std::set<std::string>& ids,
                                std::optional<time_point> hold_until) -> void
{
    auto missing = std::vector<std::string>{};
    for (const auto& [id, known] : entries_) {
        if (!ids.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const auto& id : missing) {
        remove(id, hold_until);
    }
}

auto target_registry::mark_stale(const std::string& id, std::int64_t start_unix_ms) -> void
{
    const auto known = entries_.find(id);
    if (known != entries_.end() && known->second.record->start_unix_ms == start_unix_ms) {
        known->second.stale = true;
        by_service_[known->second.record->service].usable_valid = false;
    }
}

auto target_registry::mark_leaving(const target_record& target, time_point now) -> void
{
    if (!is_leaving(target)) {
        leaving_[target.id] = {target.start_unix_ms, now};
        by_service_[target.service].usable_valid = false;
    }
}

auto target_registry::is_leaving(const target_record& record) const -> bool
{
    const auto known = leaving_.find(record.id);
    return known != leaving_.end() && known->second.start_unix_ms == record.start_unix_ms;
}

auto target_registry::expire(time_point now) -> void
{
    std::erase_if(leaving_, [&](const auto& item) {
        return !entries_.contains(item.first) && now - item.second.announced > leaving_retention;
    });
    auto expired = std::vector<std::string>{};
    for (const auto& [id, known] : entries_) {
        if (known.hold_until && now >= *known.hold_until) {
            expired.push_back(id);
        }
    }
    for (const auto& id : expired) {
        remove(id, std::nullopt);
    }
}

auto target_registry::set_zone_excluded(const std::string& zone, bool excluded) -> void
{
    if (excluded) {
        excluded_zones_.insert(zone);
    } else {
        excluded_zones_.erase(zone);
    }
    invalidate_usable();
}

auto target_registry::set_version_rule(const std::string& service, std::optional<version_rule> rule)
    -> void
{
    if (rule) {
        version_rules_[service] = std::move(*rule);
    } else {
        version_rules_.erase(service);
    }
    by_service_[service].usable_valid = false;
}

auto target_registry::rule_for(const std::string& service) const -> const version_rule*
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
    if (!list.usable_valid) {
        list.usable.clear();
        std::copy_if(list.all.begin(), list.all.end(), std::back_inserter(list.usable),
                     [this](const auto& record) { return is_usable(*record); });
        list.usable_valid = true;
    }
    return list.usable;
}

auto target_registry::is_usable(const target_record& record) const -> bool
{
    const auto known = entries_.find(record.id);
    const auto* rule = rule_for(record.service);
    if (rule != nullptr && rule->use == version_use::held && rule->version == record.version) {
        return false;
    }
    return known != entries_.end() && !known->second.stale &&
           known->second.record->start_unix_ms == record.start_unix_ms &&
           known->second.record->service == record.service && !known->second.record->draining &&
           !is_leaving(record) && !excluded_zones_.contains(record.availability_zone);
}

auto target_registry::remove_from_service(const entry& known) -> void
{
    auto& list = by_service_[known.record->service];
    std::erase(list.all, known.record);
    list.usable_valid = false;
}

auto target_registry::invalidate_usable() -> void
{
    for (auto& [service, list] : by_service_) {
        list.usable_valid = false;
    }
}

} // namespace knapweedchute
