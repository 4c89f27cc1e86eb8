#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/rollout/rollout_evidence.hpp>
#include <knapweedchute/rollout/rollout_order.hpp>
#include <knapweedchute/rollout/rollout_plan.hpp>
#include <knapweedchute/rollout/rollout_record.hpp>
#include <knapweedchute/rollout/version_monitor.hpp>
#include <knapweedchute/target/target_registry.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief A rollout record that is waiting to be stored.
struct pending_record
{
    std::string service;   ///< Service that is rolled out.
    rollout_record record; ///< Record to store.
    time_point since;      ///< When a record of this service became pending.

    [[nodiscard]] auto operator==(const pending_record&) const -> bool = default;
};

/// \brief Advances the ordered rollouts on one instance.
///
/// \detail The new version first receives a small trial share of the requests; its outcomes are
///         compared with those of the old version over all instances. Without a fault it is
///         promoted and receives all requests. The rollout is recorded as finished only some time
///         later, because the old targets are stopped as soon as it is. A fault detected by any
///         instance ends the trial on all of them. Decisions that all instances must share are
///         kept in a record in the platform's store, which takes precedence over the observations
///         of this instance. Performs no I/O and reads no clock.
class rollout_controller
{
public:
    /// \param registry Targets; receives the version rules.
    /// \param monitor  Counts request outcomes by version.
    /// \param source   Identifies this instance and its start uniquely.
    rollout_controller(target_registry& registry, version_monitor& monitor, std::uint64_t source);

    /// \name Inputs
    /// @{
    /// \brief Starts a rollout, unless its service has the same order or a later one.
    /// \detail An order that is written again after the store had lost it goes on as it stands.
    auto on_order(const rollout_order& order) -> void;
    /// \brief Ends the rollout of a service whose order was withdrawn; removes its version rule.
    auto withdraw_order(const std::string& service) -> void;
    /// \brief Withdraws the orders of all services that are not in `services`.
    auto withdraw_orders_except(const std::set<std::string>& services) -> void;
    /// \brief Applies the record stored for a service; ignores the record of another order.
    auto on_record(const std::string& service, const rollout_record& stored, time_point now)
        -> void;
    /// \brief Offers the record of a service again, which the store has lost.
    auto on_record_lost(const std::string& service) -> void;
    /// \brief Merges evidence rows received from peers.
    auto merge_evidence(const std::vector<evidence_row>& rows) -> void;
    /// @}

    /// \brief Updates the counts, decides on each rollout and sets the version rules.
    /// \param now     Time on the monotonic clock.
    /// \param unix_ms Time on the Unix clock, in milliseconds.
    auto advance(time_point now, std::int64_t unix_ms) -> void;

    /// \brief Records that are waiting to be stored.
    [[nodiscard]] auto pending_records() const -> std::vector<pending_record>;

    /// \brief Next evidence rows to send to a peer, cycling through all rows.
    /// \param count Maximum number of rows.
    [[nodiscard]] auto next_rows(std::size_t count) -> std::vector<evidence_row>;

    /// \brief Whether no rollout is ordered.
    [[nodiscard]] auto idle() const noexcept -> bool { return rollouts_.empty(); }

private:
    struct active_rollout
    {
        rollout_order order;
        std::optional<rollout_record> stored;
        time_point stored_since;
        std::optional<pending_record> pending;
        bool offers_again = false; ///< Whether the store lacks `stored` or has an earlier state.
        /// Since when a record of this version is known that belongs to an earlier era.
        std::optional<time_point> earlier_record_since;
    };

    /// \brief Goes on with a rollout under the identity of its order written again.
    auto renumber(active_rollout& rollout, const rollout_order& order) -> void;
    auto advance_rollout(active_rollout& rollout, time_point now, std::int64_t unix_ms) -> void;
    auto set_pending_record(active_rollout& rollout, const rollout_record& record, time_point now)
        -> void;
    auto apply_version_rule(const active_rollout& rollout, const rollout_decision& decision)
        -> void;
    [[nodiscard]] auto decide(const active_rollout& rollout, std::int64_t unix_ms)
        -> rollout_decision;

    target_registry* registry_;
    version_monitor* monitor_;
    std::uint64_t source_;
    rollout_evidence evidence_;
    std::map<std::string, active_rollout> rollouts_;
};

} // namespace knapweedchute
