#pragma once

#include <knapweedchute/admission/relay_admission.hpp>
#include <knapweedchute/admission/service_capacity.hpp>
#include <knapweedchute/core/counter_set.hpp>
#include <knapweedchute/core/memory_budget.hpp>
#include <knapweedchute/relay/extra_request_window.hpp>
#include <knapweedchute/relay/header_names.hpp>
#include <knapweedchute/relay/impl/relay_call.hpp>
#include <knapweedchute/relay/relay_metrics.hpp>
#include <knapweedchute/relay/request_log.hpp>
#include <knapweedchute/relay/route_latency.hpp>
#include <knapweedchute/relay/target_selector.hpp>
#include <knapweedchute/rollout/version_monitor.hpp>
#include <knapweedchute/route/weighted_split.hpp>
#include <knapweedchute/workspace/request_authorizer.hpp>
#include <knapweedchute/workspace/run_observer.hpp>
#include <knapweedchute/zoning/zone_spill.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>

namespace knapweedchute {

/// \brief Identifies a caller's request in progress; 0 means no request.
using call_id = std::uint64_t;

/// \brief Components that a coordinator uses; they must outlive it.
struct relay_dependencies
{
    target_registry& registry;    ///< Known targets.
    exchange_port& port;          ///< Sends requests to targets.
    timer_queue& timers;          ///< Clock and timers.
    extra_request_window& extras; ///< Budget of hedges and retries.
    cold_limiter& cold;           ///< Rate limit of requests to cold targets.
    version_monitor& versions;    ///< Counts request outcomes of services in rollout.
    counter_set& counters;        ///< Event counters.
    memory_budget& memory;        ///< Budget of the answers that are kept.
    /// Checks callers' keys; null: requests need none.
    const request_authorizer* authorizer = nullptr;
    /// Notified of the requests that begin to run at targets; null: nobody is.
    run_observer* runs = nullptr;
    /// Time since all changes of the configuration were last known to be here; nothing: never.
    /// Empty: they always are.
    std::function<std::optional<duration>()> configuration_age = {};
};

/// \brief Sends callers' requests to targets and returns the answers.
///
/// \detail A relay request goes to one target of one service. A query goes to one target of each
///         shard, and its answer is merged from the parts. Every request gets exactly one final
///         answer unless it is cancelled. A request is refused as not run only if no target can
///         have run it. I/O and time are injected through `exchange_port` and `timer_queue`.
class relay_coordinator
{
public:
    /// \brief Receives the final answer of a request; called once, possibly from inside `start`.
    using responder = std::function<void(relayed_answer)>;

    /// \param own_zone Availability zone of this instance.
    /// \param seed     Seed of the random variation in target selection.
    relay_coordinator(relay_policy policy, header_names names, const std::string& own_zone,
                      relay_dependencies dependencies, std::uint64_t seed);

    /// \brief Starts a request.
    /// \param table   Active route table; null before the first configuration.
    /// \param respond Receives the final answer.
    /// \returns Id of the request, or 0 if it has already ended.
    [[nodiscard]] auto start(std::shared_ptr<const route_table> table, relayed_request request,
                             responder respond) -> call_id;

    /// \brief Cancels a request whose caller has disconnected, without an answer.
    auto cancel(call_id id) -> void;

    /// \brief Rejects requests from now on that are not expected to end before a time.
    /// \param end Time at which `fail_all` will be called.
    auto stop_at(time_point end) noexcept -> void { stop_at_ = end; }

    /// \brief Ends every request in progress with the answer that its state allows.
    /// \detail An answer says "not run" only if no target can have run the request.
    auto fail_all() -> void;

    /// \brief Dispatches again the parts that wait for a target with capacity.
    auto retry_waiting() -> void;

    /// \brief Removes the load records of targets that have left.
    auto remove_unknown() -> void { selector_.remove_unused(timers_->now()); }

    /// \brief Removes the admission state of services that were not used since `oldest`.
    auto remove_unused_groups(time_point oldest) -> void
    {
        admission_.remove_unused(oldest);
        zones_.remove_unused(oldest);
    }

    /// \brief Sets the number of instances that share the targets, at least 1.
    auto set_instance_count(std::size_t count) noexcept -> void
    {
        capacity_.set_instance_count(count);
    }

    /// \brief Sets the fraction of the targets' slots that admission counts on.
    auto set_capacity_fraction(double fraction) noexcept -> void
    {
        capacity_.set_fraction(fraction);
    }

    /// \brief Number of requests that wait for admission.
    [[nodiscard]] auto waiting() const noexcept -> std::size_t { return admission_.waiting(); }

    /// \brief Latencies and outcomes of requests.
    [[nodiscard]] auto metrics() const noexcept -> const relay_metrics& { return metrics_; }

    /// \brief Largest share of first sends of a group of services that may leave the zone, 0 to 1.
    [[nodiscard]] auto leaving_share() const -> double { return zones_.largest_share(); }

    /// \brief Number of requests in progress.
    [[nodiscard]] auto in_progress() const noexcept -> std::size_t { return calls_.size(); }

private:
    using call_state = impl::relay_call;
    using part_state = impl::call_part;
    using shared_call = std::shared_ptr<call_state>;

    /// \brief Handler of a call's timer.
    using call_handler = void (relay_coordinator::*)(const shared_call&);

    auto schedule(const shared_call& call, time_point when, call_handler handler) -> timer_id;
    auto refuse_without_route(const route_table* table, const relayed_request& request)
        -> relayed_answer;
    auto admit(const shared_call& call) -> void;
    [[nodiscard]] auto fits_before_stop(const call_state& call, time_point now) const -> bool;
    auto begin(const shared_call& call) -> void;
    auto reject(const shared_call& call, std::string_view reason, const admission_verdict& verdict)
        -> void;
    auto on_wait_end(const shared_call& call) -> void;
    auto admit_waiting(const std::string& group) -> void;
    auto set_timers(const shared_call& call) -> void;
    auto dispatch_part(const shared_call& call, std::size_t index) -> void;
    /// Whether the key of a request still allows to send its parts; records why not.
    [[nodiscard]] auto key_allows_send(call_state& call) const -> bool;
    [[nodiscard]] auto zone_preference_of(const call_state& call, const part_state& part)
        -> zone_preference;
    auto record_zone_load(const call_state& call, const target_record& target, duration elapsed,
                          const exchange_result& result) -> void;
    auto send_part(const shared_call& call, std::size_t index, const selection& selected,
                   impl::trace_step step) -> void;
    auto record_step(call_state& call, std::size_t index, impl::trace_step step,
                     const selection& selected) -> void;
    auto wait_for_capacity(const shared_call& call, std::size_t index) -> void;
    auto on_exchange_end(const shared_call& call, std::size_t index, time_point sent_at,
                         exchange_id exchange, const std::shared_ptr<const target_record>& target,
                         exchange_result result) -> void;
    /// Records what a target says of itself: that it leaves, or wants a pause.
    auto record_announcements(const target_record& target, const relayed_answer& answer) -> void;
    auto on_failure(const shared_call& call, std::size_t index, const exchange_result& result)
        -> void;
    [[nodiscard]] auto may_begin_round(const call_state& call, const part_state& part,
                                       const exchange_result& result, duration delay) -> bool;
    auto begin_round(const shared_call& call, std::size_t index, duration delay) -> void;
    [[nodiscard]] auto may_retry(const call_state& call, const part_state& part,
                                 const exchange_result& result) -> bool;
    [[nodiscard]] auto is_useful(const exchange_result& result) const -> bool;
    auto record_exchange(const call_state& call, const target_record& target, time_point sent_at,
                         const exchange_result& result) -> void;
    auto hedge_stragglers(const shared_call& call) -> void;
    auto hedge_part(const shared_call& call, std::size_t index) -> void;
    auto on_goal(const shared_call& call) -> void;
    auto on_deadline(const shared_call& call) -> void;
    auto keep_answer(const shared_call& call, std::optional<relayed_answer>& kept,
                     relayed_answer answer) -> void;
    auto on_eviction(const shared_call& call) -> void;
    auto finish_if_done(const shared_call& call) -> void;
    auto finish_query(const shared_call& call, bool timed_out) -> void;
    auto finish_relay(const shared_call& call, bool timed_out) -> void;
    [[nodiscard]] auto merge_answers(call_state& call) const -> relayed_answer;
    [[nodiscard]] auto failure_answer(const call_state& call, bool timed_out) -> relayed_answer;
    [[nodiscard]] auto end_of(const call_state& call, const relayed_answer& answer) const
        -> request_end;
    auto finish_call(const shared_call& call, relayed_answer answer) -> void;
    auto release_call(const shared_call& call, request_end end, bool immediately) -> void;
    auto release_admission(const call_state& call, request_end end, bool admitted) -> void;

    relay_policy policy_;
    header_names names_;
    target_registry* registry_;
    exchange_port* port_;
    timer_queue* timers_;
    extra_request_window* extras_;
    cold_limiter* cold_;
    version_monitor* versions_;
    counter_set* counters_;
    memory_budget* memory_;
    const request_authorizer* authorizer_;
    run_observer* runs_;
    std::function<std::optional<duration>()> configuration_age_;
    target_selector selector_;
    zone_spill zones_;
    route_latency route_latency_;
    weighted_split split_;
    service_capacity capacity_;
    relay_admission admission_;
    request_log log_;
    relay_metrics metrics_;
    std::unordered_map<call_id, shared_call> calls_;
    std::set<std::tuple<int, time_point, call_id, std::size_t>> waiting_;
    std::optional<time_point> stop_at_; ///< End of a graceful stop, once one has begun.
    time_point created_at_;
    call_id next_call_ = 1;
    bool admitting_ = false; ///< Whether `admit_waiting` is running.
};

} // namespace knapweedchute
