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

/// \brief Result of a request: a search answer, the body of a run answer, or a refusal.
using request_result = std::variant<query_answer, std::string, refusal>;

/// \brief Executes the requests of one service: the coordinator decides, this class performs its
///        actions and reports their results back.
///
/// \detail Functions run on the worker's thread unless they are marked thread-safe. The lock is
///         held while the coordinator decides, never while its actions are performed.
class service_executor
{
public:
    /// \brief Receives the result of a request, on the worker's thread.
    using completion = std::function<void(request_result)>;

    /// \param worker    Performs transfers to targets; must outlive this object.
    /// \param remote    Forwards parts to other instances; must outlive this object.
    /// \param policy    Limits and options of requests.
    /// \param selector  Selects among replicas; must outlive this object.
    /// \param counters  Counts events; must outlive this object.
    /// \param seed      Seed of the random number generator.
    service_executor(transfer_worker& worker, forwarder& remote, request_policy policy,
                     const replica_selector& selector, counter_set& counters, std::uint64_t seed);

    auto configure(const service_view& view, time_point now) -> void;
    auto allow_requests_until(time_point until) -> void;
    auto search(search_request request, completion done) -> void;
    auto search_forwarded(const forwarded_request& request, completion done) -> void;
    auto run(run_request request, completion done) -> void;

    /// \brief Performs periodic work: probes, timers and waiting parts.
    /// \returns The time at which the next call is due.
    auto tick(time_point now) -> time_point;

    /// \brief Sets the share of queries that the new version of a rollout receives. Thread-safe.
    auto set_new_version_share(std::int64_t share_permil) -> void;

    /// \brief Request counts by version since the rollout began. Thread-safe.
    /// \returns An empty map while the active configuration of the service has a different rollout.
    [[nodiscard]] auto tallies(const rollout_spec& rollout) const
        -> std::map<std::string, version_tally>;

    /// \brief Number of requests in progress. Thread-safe.
    [[nodiscard]] auto queries_in_progress() const -> std::size_t;

    /// \brief State of the service for the operators' dump. Thread-safe.
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

    /// \brief Makes a decision under the lock, then performs the resulting actions without it.
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
