#pragma once

#include <knapweedchute/core/counter_set.hpp>
#include <knapweedchute/query/attempt_failure.hpp>
#include <knapweedchute/query/part_answer.hpp>
#include <knapweedchute/query/replica_chooser.hpp>
#include <knapweedchute/query/request_policy.hpp>
#include <knapweedchute/query/service_view.hpp>
#include <knapweedchute/query/snapshot_map.hpp>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief Everything that one instance knows of the targets of one service.
///
/// \detail Decides which target may get work: declared, in an availability zone that is in, not
///         leaving, not ejected, within its share of the connections and within what a target in
///         cold start bears.
class target_table
{
public:
    /// \param policy   Bounds and switches.
    /// \param chooser  Strategy among usable replicas; outlives the table.
    /// \param counters Receives events; outlives the table.
    /// \param seed     Seed of the random choices.
    target_table(request_policy policy, const replica_chooser& chooser, counter_set& counters,
                 std::uint64_t seed);

    /// \name Events
    /// @{
    auto configure(const service_view& view, time_point now) -> void;
    auto on_report(const address& where, const target_report& report, time_point now) -> void;
    auto on_sent(target_state& target) -> void;
    auto on_answer(target_state& target, const part_answer& answer, duration latency,
                   time_point now) -> void;
    auto on_failure(target_state& target, attempt_failure failure, duration age, time_point now)
        -> void;
    /// \brief An attempt was given up after `age`; a long age makes the target suspicious.
    auto on_cancelled(target_state& target, duration age, time_point now) -> void;
    /// @}

    /// \brief The snapshot that covers most shards of a version, the newest among equals.
    /// \returns Null if no target is known to hold any.
    [[nodiscard]] auto best_snapshot(const std::string& version)
        -> std::shared_ptr<const snapshot_map>;

    /// \brief A given snapshot of a version, or null.
    [[nodiscard]] auto find_snapshot(const std::string& version, std::uint64_t snapshot,
                                     std::uint32_t shards) -> std::shared_ptr<const snapshot_map>;

    /// \brief Picks a replica with a free place.
    /// \param replicas Targets that hold the shard.
    /// \param avoid    Targets already tried.
    /// \param for_hedge Whether warming targets are passed over too.
    /// \returns Null if none has a free place.
    [[nodiscard]] auto pick(const std::vector<std::shared_ptr<target_state>>& replicas,
                            const std::vector<target_state*>& avoid, bool for_hedge, time_point now)
        -> std::shared_ptr<target_state>;

    /// \brief Whether this instance could use one of the replicas once a place is free.
    [[nodiscard]] auto usable_here(const std::vector<std::shared_ptr<target_state>>& replicas,
                                   const std::vector<target_state*>& avoid, time_point now) const
        -> bool;

    /// \brief Another instance that may use one of the replicas now, or an empty name.
    [[nodiscard]] auto remote_owner(const std::vector<std::shared_ptr<target_state>>& replicas,
                                    time_point now) -> std::string;

    /// \brief All targets by address.
    [[nodiscard]] auto targets() const noexcept
        -> const std::map<address, std::shared_ptr<target_state>>&
    {
        return targets_;
    }

    /// \brief Bounds and switches.
    [[nodiscard]] auto policy() const noexcept -> const request_policy& { return policy_; }

private:
    using snapshot_list = std::vector<std::shared_ptr<const snapshot_map>>;

    [[nodiscard]] auto ejected(const target_state& target, time_point now) const noexcept -> bool;
    [[nodiscard]] auto snapshots(const std::string& version) -> const snapshot_list&;
    [[nodiscard]] auto build_snapshots(const std::string& version) const -> snapshot_list;
    auto change_share(target_state& target, const target_share& share, time_point now) const
        -> void;
    static auto note_unanswered(target_state& target, duration age) -> void;
    auto mark_leaving(target_state& target, time_point now) -> void;
    auto blame(target_state& target, time_point now) -> void;
    auto eject(target_state& target, time_point now) -> void;

    request_policy policy_;
    const replica_chooser* chooser_;
    counter_set* counters_;
    std::mt19937_64 random_;
    service_spec service_;
    std::string instance_;
    std::set<std::string> serving_;
    std::map<address, std::shared_ptr<target_state>> targets_;
    std::map<std::string, snapshot_list> snapshots_;
    std::vector<target_state*> scratch_;
};

} // namespace knapweedchute
