#pragma once

#include <knapweedchute/query/action.hpp>
#include <knapweedchute/query/run_request.hpp>
#include <knapweedchute/query/target_table.hpp>

#include <optional>
#include <string>
#include <unordered_map>

namespace knapweedchute {

/// \brief Executes the non-idempotent requests of one service, each at most once.
///
/// \detail Retries at another target only after a failure that proves that the first did not run
///         the request. There are no hedges and no retries after a timeout.
class run_coordinator
{
public:
    /// \param table    Targets of the service; must outlive the coordinator.
    /// \param policy   Limits.
    /// \param counters Event counters; must outlive the coordinator.
    run_coordinator(target_table& table, request_policy policy, counter_set& counters);

    /// \brief Sends a request to a target of the given version.
    /// \param attempt Key of the first attempt.
    auto start_run(query_key query, run_request request, const std::string& version,
                   attempt_key attempt, time_point now, action_list& actions) -> void;

    /// \brief The target ran the request.
    /// \returns False if the attempt is unknown.
    auto complete_attempt(attempt_key attempt, std::string body, time_point now,
                          action_list& actions) -> bool;

    /// \brief The attempt failed; retries if the target did not run the request.
    /// \param next_attempt Key for the next attempt.
    /// \returns False if the attempt is unknown.
    auto fail_attempt(attempt_key attempt, attempt_failure failure, attempt_key next_attempt,
                      time_point now, action_list& actions) -> bool;

    /// \brief Number of requests in progress.
    [[nodiscard]] auto in_progress() const noexcept -> std::size_t { return runs_.size(); }

private:
    struct run_progress
    {
        query_key query = 0;
        run_request request;
        std::shared_ptr<const snapshot_map> map;
        std::uint32_t shard = 0;
        std::shared_ptr<target_state> target;
        std::vector<target_state*> tried;
        time_point sent;
    };

    auto send_to_replica(run_progress progress, attempt_key attempt, error_code failure,
                         time_point now, action_list& actions) -> void;

    target_table* table_;
    request_policy policy_;
    counter_set* counters_;
    std::unordered_map<attempt_key, run_progress> runs_;
};

} // namespace knapweedchute
