#pragma once

#include <knapweedchute/query/action.hpp>
#include <knapweedchute/query/extra_request_budget.hpp>
#include <knapweedchute/query/forwarded_request.hpp>
#include <knapweedchute/query/hedge_policy.hpp>
#include <knapweedchute/query/query_progress.hpp>
#include <knapweedchute/query/run_coordinator.hpp>
#include <knapweedchute/query/target_table.hpp>
#include <knapweedchute/query/version_counter.hpp>
#include <knapweedchute/query/version_split.hpp>

#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace knapweedchute {

/// \brief State machine that executes the queries of one service.
///
/// \detail Selects the version and the snapshot once per query, sends one part per shard, hedges
///         and retries within a budget, and answers when all shards have answered or, with a
///         partial answer, at the deadline. It does no I/O and reads no clock: the owner passes in
///         events and carries out the returned actions.
/// \code
/// auto actions = coordinator.start_search(1, request, now);
/// // Carry out the actions; when the answer to a sent part arrives:
/// actions = coordinator.complete_part(attempt, answer, now);
/// \endcode
class query_coordinator
{
public:
    /// \param policy   Limits and feature switches.
    /// \param selector Selects among usable replicas; must outlive the coordinator.
    /// \param counters Event counters; must outlive the coordinator.
    /// \param seed     Seed of the random number generator.
    query_coordinator(request_policy policy, const replica_selector& selector,
                      counter_set& counters, std::uint64_t seed);

    /// \name Configuration and target reports
    /// @{
    /// \brief Applies a new service declaration or set of instances, also to queries in progress.
    [[nodiscard]] auto configure(const service_view& view, time_point now) -> action_list;

    /// \brief Sets until when the configuration counts as fresh; later work is refused.
    auto allow_new_work_until(time_point until) -> void;

    /// \brief Sets the share of queries that the new version of a rollout gets, in thousandths.
    auto set_new_version_share(std::int64_t share_permil) -> void;

    /// \brief Records the latest report of a target.
    auto on_report(const address& target, const target_report& report, time_point now) -> void;
    /// @}

    /// \name Requests
    /// @{
    /// \brief Starts a search over all shards of the service.
    [[nodiscard]] auto start_search(query_key query, search_request request, time_point now)
        -> action_list;

    /// \brief Starts a search for another instance, limited to the given shards.
    [[nodiscard]] auto start_forwarded(query_key query, const forwarded_request& request,
                                       time_point now) -> action_list;

    /// \brief Starts a non-idempotent request.
    [[nodiscard]] auto start_run(query_key query, run_request request, time_point now)
        -> action_list;
    /// @}

    /// \name Events of attempts
    /// Events of attempts that have ended or were cancelled are ignored.
    /// @{
    /// \brief A target answered a part.
    /// \detail An answer for another shard, snapshot or attempt fails the attempt.
    [[nodiscard]] auto complete_part(attempt_key attempt, part_answer answer, time_point now)
        -> action_list;

    /// \brief Another instance answered forwarded parts.
    [[nodiscard]] auto complete_forwarded(attempt_key attempt, query_answer answer, time_point now)
        -> action_list;

    /// \brief A target ran a non-idempotent request.
    [[nodiscard]] auto complete_run(attempt_key attempt, std::string body, time_point now)
        -> action_list;

    /// \brief An attempt of any kind failed.
    [[nodiscard]] auto fail_attempt(attempt_key attempt, attempt_failure failure, time_point now)
        -> action_list;
    /// @}

    /// \brief Runs due hedge and deadline timers and sends waiting parts to free slots.
    [[nodiscard]] auto tick(time_point now) -> action_list;

    /// \brief When the next timer expires; nothing if no timer is set.
    [[nodiscard]] auto next_tick() const -> std::optional<time_point>;

    /// \name State
    /// @{
    [[nodiscard]] auto queries_in_progress() const noexcept -> std::size_t;
    [[nodiscard]] auto waiting_parts() const noexcept -> std::size_t { return waiting_count_; }
    [[nodiscard]] auto service() const noexcept -> const service_spec& { return service_; }
    [[nodiscard]] auto targets() const noexcept -> const target_table& { return table_; }
    [[nodiscard]] auto hedges() const noexcept -> const hedge_policy& { return hedges_; }
    [[nodiscard]] auto tallies() const -> std::map<std::string, version_tally>;
    /// @}

private:
    using query_map = std::unordered_map<query_key, impl::query_progress>;

    enum class timer_kind : std::uint8_t
    {
        hedge,
        deadline
    };

    struct timer
    {
        time_point when;
        timer_kind kind = timer_kind::deadline;
        query_key query = 0;
        std::uint32_t shard = 0;

        [[nodiscard]] auto operator>(const timer& other) const -> bool { return when > other.when; }
    };

    /// Queries whose part waits for a slot at a replica of one shard, earliest deadline first.
    using waiting_list = std::multimap<time_point, query_key>;

    [[nodiscard]] auto select_version() -> std::string;
    auto begin_query(query_key key, impl::query_progress progress, time_point now,
                     action_list& actions) -> void;
    auto dispatch_part(query_key key, std::uint32_t shard, time_point now, action_list& actions)
        -> void;
    auto dispatch_parts(query_key key, const std::vector<std::uint32_t>& shards, time_point now,
                        action_list& actions) -> void;
    [[nodiscard]] auto send_to_replica(query_key key, std::uint32_t shard, bool is_hedge,
                                       time_point now, action_list& actions) -> bool;
    auto forward_to_instance(query_key key, const std::string& instance,
                             std::vector<std::uint32_t> shards, time_point now,
                             action_list& actions) -> void;
    auto enqueue_part(query_key key, std::uint32_t shard) -> void;
    auto dispatch_waiting(const target_state& target, time_point now, action_list& actions) -> void;
    auto dispatch_waiting(waiting_list& list, const served_shard& source, time_point now,
                          action_list& actions) -> void;
    auto accept_part(query_key key, std::uint32_t shard, std::vector<hit> hits) -> void;
    auto retry_part(query_key key, std::uint32_t shard, attempt_failure failure, time_point now,
                    action_list& actions) -> void;
    auto exclude_target(impl::part_progress& part,
                        const std::vector<std::shared_ptr<target_state>>& replicas,
                        target_state& target, attempt_failure failure, time_point now) const
        -> void;
    auto abandon_part(query_key key, std::uint32_t shard, time_point now, action_list& actions)
        -> void;
    [[nodiscard]] auto restart_query(query_key key, time_point now, action_list& actions) -> bool;
    auto cancel_attempts(impl::part_progress& part, time_point now, action_list& actions) -> void;
    auto release_attempt(attempt_key attempt) -> std::optional<impl::attempt_progress>;
    auto hedge_part(query_key key, std::uint32_t shard, time_point now, action_list& actions)
        -> void;
    auto finish_query_if_done(query_key key, time_point now, action_list& actions) -> void;
    auto finish_query(query_map::iterator found, bool at_deadline, time_point now,
                      action_list& actions) -> void;
    [[nodiscard]] auto attempt_timeout() const -> duration;
    auto record_connection(query_key key, const part_answer& answer, target_state& target) -> void;
    auto record_outcome(const impl::query_progress& progress, time_point now) -> void;

    target_table table_;
    counter_set* counters_;
    service_spec service_;
    hedge_policy hedges_;
    extra_request_budget budget_;
    version_split split_;
    run_coordinator runs_;
    std::int64_t new_version_share_permil_ = 0;
    time_point new_work_allowed_until_;
    attempt_key next_attempt_ = 1;
    query_map queries_;
    std::unordered_map<attempt_key, impl::attempt_progress> attempts_;
    std::map<served_shard, waiting_list> waiting_;
    std::size_t waiting_count_ = 0;
    std::priority_queue<timer, std::vector<timer>, std::greater<>> timers_;
    std::map<std::string, version_counter> counters_by_version_;
};

} // namespace knapweedchute
