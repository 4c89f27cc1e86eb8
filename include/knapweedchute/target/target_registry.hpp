#pragma once

#include <knapweedchute/target/target_record.hpp>
#include <knapweedchute/target/version_rule.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace knapweedchute {

/// \brief Known targets by service, and which of them may receive requests.
///
/// \detail Follows a target list that lags behind and may lose entries while the service that
///         maintains it is down: targets whose entry disappears around such an outage stay usable
///         until the end of a short hold period.
class target_registry
{
public:
    /// \brief Targets of one service.
    using target_list = std::vector<std::shared_ptr<const target_record>>;

    /// \brief Adds a target or replaces its record, and ends its hold period.
    /// \returns Whether anything changed. A change of a few hundred milliseconds in the end of the
    ///          warm-up is ignored.
    auto insert_or_update(target_record record) -> bool;

    /// \brief Removes a target whose entry was deleted from the list, or starts its hold period.
    /// \param id         Identity of the target; an unknown one is ignored.
    /// \param hold_until End of the hold period, unless one has already started; if empty, the
    ///                   target is removed at once.
    auto remove(const std::string& id, std::optional<time_point> hold_until) -> void;

    /// \brief Removes all targets that are not on the list, as `remove` does.
    /// \param ids        Identities on the list.
    /// \param hold_until As for `remove`.
    auto keep_only(const std::set<std::string>& ids, std::optional<time_point> hold_until) -> void;

    /// \brief Excludes a target whose address now answers with another identity.
    /// \detail It stays excluded until a record with another start time is added, or the target is
    ///         removed.
    /// \param start_unix_ms Lifetime that was addressed; ignored unless it is the known one.
    auto mark_stale(const std::string& id, std::int64_t start_unix_ms) -> void;

    /// \brief Excludes a target that announced its shutdown in an answer.
    /// \detail Its lifetime stays excluded even if its entry is removed and added again. A record
    ///         with another start time is another target.
    auto mark_leaving(const target_record& target, time_point now) -> void;

    /// \brief Removes the targets whose hold period has ended.
    auto expire(time_point now) -> void;

    /// \brief Excludes an availability zone from new requests, or includes it again.
    auto set_zone_excluded(const std::string& zone, bool excluded) -> void;

    /// \brief Sets the share of requests for one version of a service.
    /// \param service Name of the service.
    /// \param rule    Rule that replaces the previous one; if empty, the rule is removed.
    auto set_version_rule(const std::string& service, std::optional<version_rule> rule) -> void;

    /// \brief Returns the version rule of a service, or null if there is none.
    [[nodiscard]] auto rule_for(const std::string& service) const -> const version_rule*;

    /// \brief Availability zones that are excluded from new requests.
    [[nodiscard]] auto excluded_zones() const -> std::set<std::string> { return excluded_zones_; }

    /// \brief Returns the targets of a service that may receive new requests.
    [[nodiscard]] auto usable(const std::string& service) const -> const target_list&;

    /// \brief Whether a target may receive new requests.
    [[nodiscard]] auto is_usable(const target_record& record) const -> bool;

    /// \brief Whether a target is known, be it usable or not.
    [[nodiscard]] auto contains(const std::string& id) const -> bool
    {
        return entries_.contains(id);
    }

    /// \brief Number of known targets.
    [[nodiscard]] auto size() const noexcept -> std::size_t { return entries_.size(); }

private:
    struct entry
    {
        std::shared_ptr<const target_record> record;
        std::optional<time_point> hold_until;
        bool stale = false;
    };

    /// \brief A lifetime that announced its shutdown.
    struct leaving_lifetime
    {
        std::int64_t start_unix_ms = 0;
        time_point announced;
    };

    /// \brief Targets of one service, with a cache of the usable ones.
    struct service_targets
    {
        target_list all;
        mutable target_list usable;
        mutable bool usable_valid = false; ///< Whether `usable` is up to date.
    };

    auto remove_from_service(const entry& known) -> void;
    auto invalidate_usable() -> void;
    [[nodiscard]] auto is_leaving(const target_record& record) const -> bool;

    std::map<std::string, entry> entries_;
    std::map<std::string, leaving_lifetime> leaving_;
    std::unordered_map<std::string, service_targets> by_service_;
    std::set<std::string> excluded_zones_;
    std::map<std::string, version_rule> version_rules_;
};

} // namespace knapweedchute
