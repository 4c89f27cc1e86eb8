#pragma once

#include <knapweedchute/core/counter_set.hpp>
#include <knapweedchute/query/attempt_failure.hpp>
#include <knapweedchute/query/part_answer.hpp>
#include <knapweedchute/query/replica_selector.hpp>
#include <knapweedchute/query/request_policy.hpp>
#include <knapweedchute/query/service_view.hpp>
#include <knapweedchute/query/snapshot_map.hpp>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief State of the targets of one service as observed by this instance.
///
/// \detail A target receives requests if it is declared, its availability zone is not excluded,
///         and it is neither draining nor ejected. The number of requests in flight is limited by
///         the share of this instance and by the capacity of the target during its warm-up.
class target_table
{
public:
    /// \param policy   Limits and feature switches.
    /// \param selector Selects among usable replicas; must outlive the table.
    /// \param counters Event counters; must outlive the table.
    /// \param seed     Seed of the random number generator.
    target_table(request_policy policy, const replica_selector& selector, counter_set& counters,
                 std::uint64_t seed);

    /// \name Events
    /// @{
    /// \brief Applies a new service declaration or set of instances.
    auto configure(const service_view& view, time_point now) -> void;

    /// \brief Records a report; a restart of the target starts its warm-up again.
    auto on_report(const address& target_address, const target_report& report, time_point now)
        -> void;

    /// \brief Counts an attempt as in flight.
    auto on_sent(target_state& target) -> void;

    /// \brief Records an answer; it ends an ejection.
    auto on_answer(target_state& target, const part_answer& answer, duration latency,
                   time_point now) -> void;

    /// \brief Records a failed attempt.
    /// \param age Time since the attempt was sent.
    auto on_failure(target_state& target, attempt_failure failure, duration age, time_point now)
        -> void;

    /// \brief Records a cancelled attempt.
    /// \detail An attempt much older than the typical latency makes the open connections to the
    ///         target suspect; if they already are, it counts as a failure.
    /// \param age Time since the attempt was sent.
    auto on_cancelled(target_state& target, duration age, time_point now) -> void;
    /// @}

    /// \brief Snapshot of a version with the highest coverage; the newest one on a tie.
    /// \returns Null if no target has reported a snapshot of the version.
    [[nodiscard]] auto best_snapshot(const std::string& version)
        -> std::shared_ptr<const snapshot_map>;

    /// \brief Finds a snapshot of a version by its number and its number of shards.
    /// \returns Null if no target has reported it.
    [[nodiscard]] auto find_snapshot(const std::string& version, std::uint64_t snapshot,
                                     std::uint32_t shards) -> std::shared_ptr<const snapshot_map>;

    /// \brief Selects a replica with a free slot.
    /// \detail Ejected targets are used only if all usable replicas are ejected.
    /// \param replicas  Targets that hold the shard.
    /// \param excluded  Targets to leave out.
    /// \param for_hedge Whether to leave out targets that are warming up.
    /// \returns Null if no replica has a free slot.
    [[nodiscard]] auto select_replica(const std::vector<std::shared_ptr<target_state>>& replicas,
                                      const std::vector<target_state*>& excluded, bool for_hedge,
                                      time_point now) -> std::shared_ptr<target_state>;

    /// \brief Whether this instance may use one of the replicas, now or when a slot becomes free.
    [[nodiscard]] auto
    has_usable_replica(const std::vector<std::shared_ptr<target_state>>& replicas,
                       const std::vector<target_state*>& excluded, time_point now) const -> bool;

    /// \brief Selects another serving instance that may use one of the replicas.
    /// \returns Empty if there is none.
    [[nodiscard]] auto remote_owner(const std::vector<std::shared_ptr<target_state>>& replicas,
                                    time_point now) -> std::string;

    /// \brief All targets by address.
    [[nodiscard]] auto targets() const noexcept
        -> const std::map<address, std::shared_ptr<target_state>>&
    {
        return targets_;
    }

    /// \brief Limits and feature switches.
    [[nodiscard]] auto policy() const noexcept -> const request_policy& { return policy_; }

private:
    using snapshot_list = std::vector<std::shared_ptr<const snapshot_map>>;

    [[nodiscard]] auto ejected(const target_state& target, time_point now) const noexcept -> bool;
    [[nodiscard]] auto snapshots(const std::string& version) -> const snapshot_list&;
    [[nodiscard]] auto build_snapshots(const std::string& version) const -> snapshot_list;
    auto schedule_share(target_state& target, const target_share& share, time_point now) const
        -> void;
    static auto raise_latency_estimate(target_state& target, duration age) -> void;
    auto mark_leaving(target_state& target, time_point now) -> void;
    auto record_failure(target_state& target, time_point now) -> void;
    auto eject_target(target_state& target, time_point now) -> void;

    request_policy policy_;
    const replica_selector* selector_;
    counter_set* counters_;
    std::mt19937_64 random_;
    service_spec service_;
    std::string instance_;
    std::set<std::string> serving_instances_;
    std::map<address, std::shared_ptr<target_state>> targets_;
    std::map<std::string, snapshot_list> snapshots_;
    std::vector<target_state*> candidates_;
};

} // namespace knapweedchute
