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

/// \brief Carries the queries of one service from start to answer.
///
/// \detail Fixes version and snapshot once per query, sends one part per shard, hedges and retries
///         within a budget, and answers when all shards have, or at the deadline with what there
///         is. Does no I/O and reads no clock: events go in, actions come out.
/// \code
/// auto actions = coordinator.start(1, request, now);
/// // send each send_part of `actions`, then on an answer:
/// actions = coordinator.complete(attempt, answer, now);
/// \endcode
class query_coordinator
{
public:
    /// \param policy   Bounds and switches.
    /// \param chooser  Strategy among replicas; outlives the coordinator.
    /// \param counters Receives events; outlives the coordinator.
    /// \param seed     Seed of the random choices.
    query_coordinator(request_policy policy, const replica_chooser& chooser, counter_set& counters,
                      std::uint64_t seed);

    /// \name What is known
    /// @{
    /// \brief Takes a new declaration or a new set of instances in force for all work.
    [[nodiscard]] auto configure(const service_view& view, time_point now) -> action_list;

    /// \brief Sets until when new work may be given out, given the proof of freshness.
    auto allow_until(time_point until) -> void;

    /// \brief Sets the share of queries that the new version of a move gets.
    auto set_new_version_share(std::int64_t share_permil) -> void;

    /// \brief Takes in what a target says of itself.
    auto on_report(const address& target, const target_report& report, time_point now) -> void;
    /// @}

    /// \name Requests
    /// @{
    [[nodiscard]] auto start(query_key query, search_request request, time_point now)
        -> action_list;
    [[nodiscard]] auto start_forwarded(query_key query, const forwarded_request& request,
                                       time_point now) -> action_list;
    [[nodiscard]] auto start_run(query_key query, run_request request, time_point now)
        -> action_list;
    /// @}

    /// \name Events of attempts
    /// @{
    [[nodiscard]] auto complete(attempt_key attempt, part_answer answer, time_point now)
        -> action_list;
    [[nodiscard]] auto complete_forwarded(attempt_key attempt, query_answer answer, time_point now)
        -> action_list;
    [[nodiscard]] auto complete_run(attempt_key attempt, std::string body, time_point now)
        -> action_list;
    [[nodiscard]] auto fail(attempt_key attempt, attempt_failure failure, time_point now)
        -> action_list;
    /// @}

    /// \brief Handles everything due at `now`: hedges, deadlines, places that became free.
    [[nodiscard]] auto tick(time_point now) -> action_list;

    /// \brief When `tick` is due next.
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

    /// Parts that wait for a place at a replica of one shard, the earliest deadline first.
    using waiting_list = std::multimap<time_point, query_key>;

    [[nodiscard]] auto choose_version() -> std::string;
    auto begin(query_key key, impl::query_progress progress, time_point now, action_list& actions)
        -> void;
    auto dispatch(query_key key, std::uint32_t shard, time_point now, action_list& actions) -> void;
    auto dispatch_all(query_key key, const std::vector<std::uint32_t>& shards, time_point now,
                      action_list& actions) -> void;
    [[nodiscard]] auto send_to_replica(query_key key, std::uint32_t shard, bool hedge,
                                       time_point now, action_list& actions) -> bool;
    auto forward(query_key key, const std::string& instance, std::vector<std::uint32_t> shards,
                 time_point now, action_list& actions) -> void;
    auto wait_for_place(query_key key, std::uint32_t shard) -> void;
    auto serve_waiting(const target_state& target, time_point now, action_list& actions) -> void;
    auto serve_waiting(waiting_list& list, const served_shard& place, time_point now,
                       action_list& actions) -> void;
    auto accept_part(query_key key, std::uint32_t shard, std::vector<hit> hits) -> void;
    auto retry(query_key key, std::uint32_t shard, attempt_failure failure, time_point now,
               action_list& actions) -> void;
    auto avoid(impl::part_progress& part,
               const std::vector<std::shared_ptr<target_state>>& replicas, target_state& target,
               attempt_failure failure, time_point now) const -> void;
    auto give_up(query_key key, std::uint32_t shard, time_point now, action_list& actions) -> void;
    [[nodiscard]] auto restart(query_key key, time_point now, action_list& actions) -> bool;
    auto cancel_live(impl::part_progress& part, time_point now, action_list& actions) -> void;
    auto release(attempt_key attempt) -> std::optional<impl::attempt_progress>;
    auto hedge(query_key key, std::uint32_t shard, time_point now, action_list& actions) -> void;
    auto finish_if_done(query_key key, time_point now, action_list& actions) -> void;
    auto finish(query_map::iterator found, bool at_deadline, time_point now, action_list& actions)
        -> void;
    [[nodiscard]] auto attempt_limit() const -> duration;
    auto note_connection(query_key key, const part_answer& answer, target_state& target) -> void;
    auto tally(const impl::query_progress& progress, time_point now) -> void;

    target_table table_;
    counter_set* counters_;
    service_spec service_;
    hedge_policy hedges_;
    extra_request_budget budget_;
    version_split split_;
    run_coordinator runs_;
    std::int64_t new_version_share_permil_ = 0;
    time_point allowed_until_;
    attempt_key next_attempt_ = 1;
    query_map queries_;
    std::unordered_map<attempt_key, impl::attempt_progress> attempts_;
    std::map<served_shard, waiting_list> waiting_;
    std::size_t waiting_count_ = 0;
    std::priority_queue<timer, std::vector<timer>, std::greater<>> timers_;
    std::map<std::string, version_counter> counters_by_version_;
};

} // namespace knapweedchute
