#pragma once

#include <knapweedchute/query/query_coordinator.hpp>
#include <knapweedchute/runtime/forwarder.hpp>
#include <knapweedchute/runtime/transfer_worker.hpp>

#include <nlohmann/json.hpp>

#include <functional>
#include <mutex>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace knapweedchute {

/// \brief How a request ended: a search answer, the body of a run, or a refusal.
using request_result = std::variant<query_answer, std::string, refusal>;

/// \brief One service on one instance: a coordinator, its lock, and the transfers it asked for.
///
/// \detail All members but `dump` and `queries_in_progress` run on the worker's thread. The lock is
///         held while the coordinator decides, never while its actions are carried out.
class service_lane
{
public:
    /// \brief Receives the end of a request, on the worker's thread.
    using completion = std::function<void(request_result)>;

    /// \param worker    Carries transfers; outlives the lane.
    /// \param remote    Carries forwarded parts; outlives the lane.
    /// \param policy    Bounds and switches.
    /// \param chooser   Strategy among replicas; outlives the lane.
    /// \param counters  Receives events; outlives the lane.
    /// \param seed      Seed of the random choices.
    service_lane(transfer_worker& worker, forwarder& remote, request_policy policy,
                 const replica_selector& chooser, counter_set& counters, std::uint64_t seed);

    auto configure(const service_view& view, time_point now) -> void;
    auto allow_until(time_point until) -> void;
    auto search(search_request request, completion done) -> void;
    auto search_forwarded(const forwarded_request& request, completion done) -> void;
    auto run(run_request request, completion done) -> void;

    /// \brief Periodic work; returns when it is due next.
    auto tick(time_point now) -> time_point;

    /// \brief Sets the share of queries that the new version of a move gets. Any thread.
    auto set_new_version_share(std::int64_t share_permil) -> void;

    /// \brief Counts per version since a move began; empty before it is in force here. Any thread.
    [[nodiscard]] auto tallies(const rollout_spec& move) const
        -> std::map<std::string, version_tally>;

    /// \brief Requests in progress.
    [[nodiscard]] auto queries_in_progress() const -> std::size_t;

    /// \brief State for the dump.
    [[nodiscard]] auto dump(time_point now) const -> nlohmann::json;

private:
    auto execute(action_list actions) -> void;
    auto execute(const send_part& part) -> void;
    auto execute(const forward_parts& parts) -> void;
    auto execute(const send_run& run) -> void;
    auto execute(const cancel_attempt& cancelled) -> void;
    auto execute(answer_query& answer) -> void;
    auto execute(answer_run& answer) -> void;
    auto execute(refuse_query& refused) -> void;
    auto finish(query_key query, request_result result) -> void;
    auto on_part_result(attempt_key attempt, const transfer_result& result) -> void;
    auto on_run_result(attempt_key attempt, transfer_result result) -> void;
    auto probe_targets(time_point now) -> void;
    auto on_probe_result(const address& target, const transfer_result& result) -> void;

    /// Runs a decision under the lock, then carries out what it wants.
    template <typename Decision>
    auto decide(Decision decision) -> void
    {
        auto actions = action_list{};
        {
            const auto lock = std::lock_guard{mutex_};
            actions = decision(coordinator_);
        }
        execute(std::move(actions));
    }

    transfer_worker* worker_;
    forwarder* remote_;
    counter_set* counters_;
    mutable std::mutex mutex_;
    query_coordinator coordinator_;
    query_key next_query_ = 1;
    std::unordered_map<query_key, completion> completions_;
    std::unordered_map<attempt_key, transfer_key> transfers_;
    std::set<address> probes_;
    time_point next_probe_;
    time_point next_sweep_;
};

} // namespace knapweedchute
