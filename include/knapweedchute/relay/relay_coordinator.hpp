#pragma once

#include <knapweedchute/core/counter_set.hpp>
#include <knapweedchute/relay/extra_window.hpp>
#include <knapweedchute/relay/header_names.hpp>
#include <knapweedchute/relay/impl/relay_call.hpp>
#include <knapweedchute/relay/relay_metrics.hpp>
#include <knapweedchute/relay/replica_placing.hpp>
#include <knapweedchute/relay/request_log.hpp>
#include <knapweedchute/relay/route_pace.hpp>
#include <knapweedchute/rollout/version_monitor.hpp>
#include <knapweedchute/route/weighted_split.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>

namespace knapweedchute {

/// \brief Names a caller's request in progress; 0 names none.
using call_id = std::uint64_t;

/// \brief Parts that all coordinators of a process are built from.
struct relay_parts
{
    target_registry& registry; ///< Targets that may be used.
    exchange_port& port;       ///< Way to the targets.
    timer_queue& timers;       ///< Time.
    extra_window& extras;      ///< Budget of hedges and retries.
    cold_limiter& cold;        ///< Limit of requests to cold targets.
    version_monitor& versions; ///< Counts requests of services that move between versions.
    counter_set& counters;     ///< Receives what happened.
};

/// \brief Brings callers' requests to targets and their answers back.
///
/// \detail A request of a relay goes to one target of one service; one of a query goes to a target
///         of each shard, and its answer is merged from the parts. Every request gets exactly one
///         final answer, unless its caller leaves. A refusal says "not run" only where no target
///         can have run it. Does no I/O and reads no clock: both are handed in.
class relay_coordinator
{
public:
    /// \brief Takes the final answer of a request, once, maybe from inside `start`.
    using responder = std::function<void(relayed_answer)>;

    /// \param own_zone Availability zone of this instance.
    /// \param seed     Seed of random choices.
    relay_coordinator(relay_policy policy, header_names names, const std::string& own_zone,
                      relay_parts parts, std::uint64_t seed);

    /// \brief Takes a request up.
    /// \param table Routes in force; null before the first.
    [[nodiscard]] auto start(std::shared_ptr<const route_table> table, relayed_request request,
                             responder respond) -> call_id;

    /// \brief The caller has left: ends all its work at once, without an answer.
    auto leave(call_id call) -> void;

    /// \brief Ends every request in progress with an answer that is true now.
    auto give_up_all() -> void;

    /// \brief Tries again the parts that wait for targets or connections.
    auto retry_waiting() -> void;

    /// \brief Forgets what is known of targets that left.
    auto forget_unknown() -> void { placing_.forget_unknown(); }

    /// \brief Times and ends of requests.
    [[nodiscard]] auto metrics() const noexcept -> const relay_metrics& { return metrics_; }

    /// \brief Requests in progress.
    [[nodiscard]] auto in_progress() const noexcept -> std::size_t { return calls_.size(); }

private:
    using call = impl::relay_call;
    using part = impl::call_part;
    using shared_call = std::shared_ptr<call>;

    /// \brief What may be done to a call when its time has come.
    using call_event = void (relay_coordinator::*)(const shared_call&);

    auto call_at(const shared_call& of, time_point when, call_event event) -> timer_id;
    auto set_timers(const shared_call& of) -> void;
    auto dispatch(const shared_call& of, std::size_t index) -> void;
    auto send(const shared_call& of, std::size_t index, const placement& where,
              impl::trace_step why) -> void;
    auto trace(call& of, std::size_t index, impl::trace_step step, const placement& where) -> void;
    auto wait_for_room(const shared_call& of, std::size_t index) -> void;
    auto on_end(const shared_call& of, std::size_t index, time_point sent, exchange_id exchange,
                const std::shared_ptr<const target_record>& target, exchange_result result) -> void;
    auto on_failure(const shared_call& of, std::size_t index, const exchange_result& result)
        -> void;
    [[nodiscard]] auto may_retry(const call& of, const part& failed, const exchange_result& result)
        -> bool;
    [[nodiscard]] auto is_useful(const exchange_result& result) const -> bool;
    auto note_end(const call& of, const target_record& target, time_point sent,
                  const exchange_result& result) -> void;
    auto hedge_stragglers(const shared_call& of) -> void;
    auto hedge(const shared_call& of, std::size_t index) -> void;
    auto on_goal(const shared_call& of) -> void;
    auto on_deadline(const shared_call& of) -> void;
    auto finish_if_done(const shared_call& of) -> void;
    auto finish_query(const shared_call& of, bool timed_out) -> void;
    auto finish_relay(const shared_call& of, bool timed_out) -> void;
    [[nodiscard]] auto merge(call& of) const -> relayed_answer;
    [[nodiscard]] auto failure_of(const call& of, bool timed_out) const -> relayed_answer;
    auto end(const shared_call& of, relayed_answer answer) -> void;
    auto release(call& of, bool at_once) -> void;

    relay_policy policy_;
    header_names names_;
    target_registry* registry_;
    exchange_port* port_;
    timer_queue* timers_;
    extra_window* extras_;
    cold_limiter* cold_;
    version_monitor* versions_;
    counter_set* counters_;
    replica_placing placing_;
    route_pace pace_;
    weighted_split split_;
    request_log log_;
    relay_metrics metrics_;
    std::unordered_map<call_id, shared_call> calls_;
    std::set<std::tuple<int, time_point, call_id, std::size_t>> waiting_;
    call_id next_call_ = 1;
};

} // namespace knapweedchute
