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

/// \brief The targets that may be used, by service.
///
/// \detail Fed by a list that lags and that may lose entries while its keeper is down: entries
///         that vanish around such an outage are kept for a short hold, and dropped after it.
class target_registry
{
public:
    /// \brief Lifetimes of one service.
    using target_list = std::vector<std::shared_ptr<const target_record>>;

    /// \brief Adds a target or replaces what is known of it.
    /// \returns Whether anything is new; a few hundred milliseconds more or less of a warm-up are
    ///          not.
    auto put(target_record record) -> bool;

    /// \brief Notes that the entry of a target is gone from the list.
    /// \param hold_until Until when the target stays usable all the same, if any.
    auto remove(const std::string& id, std::optional<time_point> hold_until) -> void;

    /// \brief Notes that exactly these ids are on the list; others are removed.
    auto keep_only(const std::set<std::string>& ids, std::optional<time_point> hold_until) -> void;

    /// \brief Notes that nothing at the address of a target answers to its id any more.
    auto disown(const std::string& id, std::int64_t born_unix_ms) -> void;

    /// \brief Drops the targets whose hold is over.
    auto expire(time_point now) -> void;

    /// \brief Notes whether an availability zone is taken out.
    auto take_zone_out(const std::string& zone, bool out) -> void;

    /// \brief Sets how much the targets of one version of a service get; nothing lifts the rule.
    auto set_version_rule(const std::string& service, std::optional<version_rule> rule) -> void;

    /// \brief The rule for a version of a service; null if there is none.
    [[nodiscard]] auto rule_of(const std::string& service) const -> const version_rule*;

    /// \brief Availability zones that are taken out.
    [[nodiscard]] auto zones_out() const -> std::set<std::string> { return zones_out_; }

    /// \brief Targets of a service that may get new requests.
    [[nodiscard]] auto usable(const std::string& service) const -> const target_list&;

    /// \brief Whether a target may get a new request now.
    [[nodiscard]] auto may_use(const target_record& record) const -> bool;

    /// \brief Whether a target is on the list.
    [[nodiscard]] auto knows(const std::string& id) const -> bool { return entries_.contains(id); }

    /// \brief Number of targets known.
    [[nodiscard]] auto size() const noexcept -> std::size_t { return entries_.size(); }

private:
    struct entry
    {
        std::shared_ptr<const target_record> record;
        std::optional<time_point> hold_until;
        bool disowned = false;
    };

    /// \brief Targets of one service, and those of them that may get new requests.
    struct service_targets
    {
        target_list all;
        mutable target_list usable;
        mutable bool current = false; ///< Whether `usable` is worked out.
    };

    auto unlist(const entry& known) -> void;
    auto forget_usable() -> void;

    std::map<std::string, entry> entries_;
    std::unordered_map<std::string, service_targets> by_service_;
    std::set<std::string> zones_out_;
    std::map<std::string, version_rule> version_rules_;
};

} // namespace knapweedchute
