#include <knapweedchute/relay/refusal_answer.hpp>
#include <knapweedchute/relay/relay_coordinator.hpp>
#include <knapweedchute/relay/request_encoder.hpp>

#include <algorithm>
#include <utility>

namespace knapweedchute {

using impl::trace_step;

namespace {

constexpr auto status_server_error = 500U;
constexpr auto status_success = 200U;
constexpr auto status_redirect = 300U;
/// Multiple of a route's typical latency above which a request counts as slow for its version.
constexpr auto slow_multiple = 3;
constexpr auto min_round_delay = milliseconds{4};
constexpr auto max_round_delay = milliseconds{20};

/// Whether a status gives no evidence of whether the target works correctly.
auto is_inconclusive(exchange_status status) -> bool
{
    return provably_not_run(status) || status == exchange_status::unknown;
}

/// Time after which targets that have rejected a part may have a slot again.
auto round_delay(duration typical_latency) -> duration
{
    return std::clamp<duration>(typical_latency / 2, min_round_delay, max_round_delay);
}

auto is_success(const relayed_answer& answer) -> bool
{
    return answer.status >= status_success && answer.status < status_redirect;
}

/// Whether an answer that is not useful may still be the caller's answer. One that promises "not
/// run" without the proof that makes the exchange `not_run` may not, as the request may have run;
/// nor may a success without the target's proof.
auto may_pass_on(const exchange_result& result) -> bool
{
    return result.status == exchange_status::answered && !promises_not_run(result.answer.status) &&
           !is_success(result.answer);
}

} // namespace

relay_coordinator::relay_coordinator(relay_policy policy, header_names names,
                                     const std::string& own_zone, relay_dependencies dependencies,
                                     std::uint64_t seed)
    : policy_{policy}, names_{std::move(names)}, registry_{&dependencies.registry},
      port_{&dependencies.port}, timers_{&dependencies.timers}, extras_{&dependencies.extras},
      cold_{&dependencies.cold}, versions_{&dependencies.versions},
      counters_{&dependencies.counters}, memory_{&dependencies.memory},
      authorizer_{dependencies.authorizer}, runs_{dependencies.runs},
      configuration_age_{std::move(dependencies.configuration_age)},
      selector_{policy, own_zone, dependencies.registry, dependencies.port, dependencies.cold,
                seed},
      zones_{zone_spill_policy{policy.zone_byte_price}, own_zone, seed},
      capacity_{dependencies.registry}, admission_{seed}, log_{dependencies.counters},
      created_at_{dependencies.timers.now()}
{
}

auto relay_coordinator::retry_waiting() -> void
{
    auto waiting = std::exchange(waiting_, {});
    for (const auto& [priority, deadline, id, index] : waiting) {
        const auto found = calls_.find(id);
        if (found == calls_.end()) {
            continue;
        }
        const auto call = found->second;
        call->parts[index].waiting = false;
        if (!call->ended() && !call->parts[index].done()) {
            dispatch_part(call, index);
            finish_if_done(call);
        }
    }
}

auto relay_coordinator::schedule(const shared_call& call, time_point when, call_handler handler)
    -> timer_id
{
    return timers_->at(when, [this, weak = std::weak_ptr{call}, handler] {
        if (const auto locked_call = weak.lock(); locked_call && !locked_call->ended()) {
            (this->*handler)(locked_call);
        }
    });
}

auto relay_coordinator::dispatch_part(const shared_call& call, std::size_t index) -> void
{
    auto& part = call->parts[index];
    const auto now = timers_->now();
    if (call->deadline - now < policy_.min_time_left) {
        return;
    }
    if (!key_allows_send(*call)) {
        part.failed = part.open_exchanges.empty();
        return;
    }
    const auto selected =
        selector_.select_target(part.service, part.tried, now, zone_preference_of(*call, part));
    if (selected.target) {
        const auto first = part.tried.empty() && part.rounds == 0;
        send_part(call, index, selected, first ? trace_step::send : trace_step::retry);
        return;
    }
    if (!part.open_exchanges.empty()) {
        return;
    }
    // A pause that ends in time is waited for; one that does not fails the part at once.
    const auto typical_latency = route_latency_.typical(*call->matched_route);
    const auto pause_ends_in_time =
        selected.pause_end && *selected.pause_end + typical_latency < call->deadline;
    if (selected.at_capacity || pause_ends_in_time) {
        // A waiting part is dispatched at each end of an exchange; one step says that it waits.
        if (part.steps.empty() || part.steps.back().step != trace_step::wait) {
            record_step(*call, index, trace_step::wait, selected);
        }
        wait_for_capacity(call, index);
        return;
    }
    record_step(*call, index, trace_step::no_target, selected);
    part.failed = true;
}

auto relay_coordinator::zone_preference_of(const call_state& call, const part_state& part)
    -> zone_preference
{
    if (!part.tried.empty() || part.rounds > 0) {
        return {};
    }
    const auto now = timers_->now();
    auto preference = zones_.choose(call.admission.group, now);
    if (const auto change = zones_.take_change()) {
        log_.on_zone_change(*change, now);
    }
    return preference;
}

auto relay_coordinator::key_allows_send(call_state& call) const -> bool
{
    if (!call.key) {
        return true;
    }
    const auto verdict = authorizer_->judge(*call.key, call.workspace);
    if (verdict != key_verdict::valid) {
        call.key_refusal = verdict;
    }
    return verdict == key_verdict::valid;
}

auto relay_coordinator::wait_for_capacity(const shared_call& call, std::size_t index) -> void
{
    call->parts[index].waiting = true;
    waiting_.emplace(call->admission.priority, call->deadline, call->id, index);
}

auto relay_coordinator::record_step(call_state& call, std::size_t index, trace_step step,
                                    const selection& selected) -> void
{
    auto& part = call.parts[index];
    const auto usable = registry_->usable(part.service).size();
    part.steps.push_back(
        {timers_->now() - call.started, step, selected.target, selected.cost, usable, {}, 0});
}

auto relay_coordinator::send_part(const shared_call& call, std::size_t index,
                                  const selection& selected, trace_step step) -> void
{
    record_step(*call, index, step, selected);
    if (index == 0 && step == trace_step::send) {
        metrics_.on_first_send(timers_->now() - call->started);
    }
    auto& part = call->parts[index];
    const auto now = timers_->now();
    const auto time_left = std::chrono::duration_cast<milliseconds>(call->deadline - now);
    auto order = exchange_order{
        selected.target, encode_request(call->request, names_, *selected.target, time_left),
        call->request.id, call->request.method != "HEAD", call->matched_route->idempotent};
    if (call->key) {
        order.may_send = [this, weak = std::weak_ptr{call}] {
            const auto open_call = weak.lock();
            return open_call && key_allows_send(*open_call);
        };
    }
    part.tried.push_back(selected.target->id);
    selector_.load(selected.target->id).on_send(now, route_latency_.typical(*call->matched_route));
    cold_->on_send(*selected.target, now);
    counters_->add(counter::parts_sent);
    metrics_.on_part_sent(zones_.is_own(selected.target->availability_zone));
    // `send` returns the id after the listener is created; the listener runs later.
    auto id = std::make_shared<exchange_id>(0);
    *id = port_->send(std::move(order), [this, call, index, now, id,
                                         target = selected.target](exchange_result result) {
        on_exchange_end(call, index, now, *id, target, std::move(result));
    });
    part.open_exchanges.emplace(*id, now);
}

auto relay_coordinator::is_useful(const exchange_result& result) const -> bool
{
    return result.status == exchange_status::answered && is_success(result.answer) &&
           find_field(result.answer.fields, names_.proof) != nullptr;
}

auto relay_coordinator::record_exchange(const call_state& call, const target_record& target,
                                        time_point sent_at, const exchange_result& result) -> void
{
    const auto now = timers_->now();
    const auto elapsed = now - sent_at;
    const auto useful = is_useful(result);
    const auto typical_latency = route_latency_.typical(*call.matched_route);
    const auto cancelled = call.ended() && result.status == exchange_status::unknown;
    const auto stale_connection =
        result.status == exchange_status::broken && result.reused_connection;
    const auto failed = !useful && !cancelled && !stale_connection;
    selector_.load(target.id).on_end(sent_at, now, typical_latency, failed);
    if (!result.never_sent) {
        metrics_.on_exchange(result.status, elapsed);
        if (useful || cancelled || result.status == exchange_status::not_run) {
            record_zone_load(call, target, elapsed, result);
        }
        // The version is not responsible for the time to connect or for a refusal for lack of
        // capacity. Of a cancelled exchange only the duration is evidence.
        const auto slow = result.reused_connection && elapsed > typical_latency * slow_multiple;
        versions_->add_observation(target.service, target.version,
                                   {failed && !is_inconclusive(result.status), false, slow}, now);
    }
    if (useful) {
        route_latency_.on_answer(*call.matched_route, elapsed);
    }
}

auto relay_coordinator::record_zone_load(const call_state& call, const target_record& target,
                                         duration elapsed, const exchange_result& result) -> void
{
    const auto goal = duration{call.matched_route->latency_goal};
    // A cancelled exchange would have taken longer; a short one says nothing.
    if (result.status == exchange_status::unknown && elapsed * 2 < goal) {
        return;
    }
    zones_.observe(call.admission.group,
                   {target.availability_zone, elapsed, goal, result.answer.body.size(),
                    result.status == exchange_status::not_run},
                   timers_->now());
}

auto relay_coordinator::on_exchange_end(const shared_call& call, std::size_t index,
                                        time_point sent_at, exchange_id exchange,
                                        const std::shared_ptr<const target_record>& target,
                                        exchange_result result) -> void
{
    const auto useful = is_useful(result);
    record_exchange(*call, *target, sent_at, result);
    if (runs_ != nullptr && !provably_not_run(result.status)) {
        runs_->on_run({call->workspace, call->id, sent_at, timers_->now(), result.status});
    }
    if (result.status == exchange_status::wrong_target) {
        registry_->mark_stale(target->id, target->start_unix_ms);
    } else {
        record_announcements(*target, result.answer);
    }
    if (result.oversized) {
        selector_.backoff().on_oversized(*target, timers_->now());
    }
    auto& part = call->parts[index];
    part.open_exchanges.erase(exchange);
    if (!useful) {
        part.steps.push_back({timers_->now() - call->started, trace_step::end, target, 0.0, 0,
                              result.status, result.answer.status});
    }
    if (!call->ended() && !part.done()) {
        part.last_status = result.status;
        part.may_have_run = part.may_have_run || !provably_not_run(result.status);
        part.rejected =
            part.rejected || (result.status == exchange_status::not_run && !result.never_sent);
        if (useful) {
            keep_answer(call, part.answer, std::move(result.answer));
            for (const auto& [other, since] : part.open_exchanges) {
                counters_->add(counter::parts_cancelled);
                port_->cancel(other);
            }
        } else {
            on_failure(call, index, result);
        }
        finish_if_done(call);
    }
    if (!waiting_.empty()) {
        retry_waiting();
    }
}

auto relay_coordinator::record_announcements(const target_record& target,
                                             const relayed_answer& answer) -> void
{
    const auto now = timers_->now();
    selector_.backoff().on_answer(target, answer, now);
    if (!names_.leaving.empty() && find_field(answer.fields, names_.leaving) != nullptr) {
        registry_->mark_leaving(target, now);
    }
}

auto relay_coordinator::on_failure(const shared_call& call, std::size_t index,
                                   const exchange_result& result) -> void
{
    auto& part = call->parts[index];
    counters_->add(counter::parts_failed);
    if (may_pass_on(result)) {
        keep_answer(call, part.failure, result.answer);
    }
    if (result.never_sent) {
        part.unsent += 1;
    }
    if (may_retry(*call, part, result)) {
        counters_->add(counter::parts_retried);
        dispatch_part(call, index);
    }
    part.failed = part.failed || (part.open_exchanges.empty() && !part.waiting);
    const auto delay = round_delay(route_latency_.typical(*call->matched_route));
    if (part.failed && may_begin_round(*call, part, result, delay)) {
        begin_round(call, index, delay);
    }
}

auto relay_coordinator::may_begin_round(const call_state& call, const part_state& part,
                                        const exchange_result& result, duration delay) -> bool
{
    const auto now = timers_->now();
    const auto rejected = result.status == exchange_status::not_run && !result.never_sent;
    const auto latest = std::min(call.started + call.matched_route->latency_goal, call.deadline);
    const auto expected_end = now + delay + route_latency_.typical(*call.matched_route);
    return call.matched_route->is_query() && rejected && !part.may_have_run &&
           part.rounds < policy_.max_rounds && expected_end + policy_.goal_margin < latest &&
           !admission_.is_overloaded(call.admission.group, now) &&
           extras_->try_acquire(part.service, now);
}

auto relay_coordinator::begin_round(const shared_call& call, std::size_t index, duration delay)
    -> void
{
    auto& part = call->parts[index];
    part.failed = false;
    part.rounds += 1;
    part.tried.clear();
    part.unsent = 0;
    counters_->add(counter::parts_retried);
    timers_->at(timers_->now() + delay, [this, weak = std::weak_ptr{call}, index] {
        const auto open_call = weak.lock();
        if (open_call && !open_call->ended()) {
            dispatch_part(open_call, index);
            finish_if_done(open_call);
        }
    });
}

auto relay_coordinator::may_retry(const call_state& call, const part_state& part,
                                  const exchange_result& result) -> bool
{
    const auto is_final = may_pass_on(result) && result.answer.status < status_server_error;
    const auto repeatable = call.matched_route->idempotent || provably_not_run(result.status);
    if (is_final || !repeatable) {
        return false;
    }
    if (result.never_sent) {
        return part.unsent < policy_.max_unsent;
    }
    return part.tried.size() - part.unsent < call.matched_route->max_targets &&
           extras_->try_acquire(part.service, timers_->now());
}

auto relay_coordinator::hedge_stragglers(const shared_call& call) -> void
{
    const auto typical_latency = route_latency_.typical(*call->matched_route);
    call->straggler_timer = 0;
    // A typical latency above half of the goal means that all targets are slow, and a limit that
    // has fallen that they are full; hedges would only add load.
    if (typical_latency * 2 > call->matched_route->latency_goal ||
        admission_.is_overloaded(call->admission.group, timers_->now())) {
        return;
    }
    for (auto index = std::size_t{0}; index < call->parts.size(); ++index) {
        hedge_part(call, index);
    }
    call->straggler_checks += 1;
    if (call->straggler_checks < policy_.max_straggler_checks) {
        call->straggler_timer =
            schedule(call, timers_->now() + typical_latency, &relay_coordinator::hedge_stragglers);
    }
}

auto relay_coordinator::hedge_part(const shared_call& call, std::size_t index) -> void
{
    auto& part = call->parts[index];
    if (part.done() || part.open_exchanges.size() != 1 ||
        part.tried.size() - part.unsent >= call->matched_route->max_targets ||
        !key_allows_send(*call)) {
        return;
    }
    const auto now = timers_->now();
    const auto selected = selector_.select_target(part.service, part.tried, now);
    const auto current_cost = selector_.load(part.tried.back()).cost(now);
    if (!selected.target || selected.cost >= current_cost ||
        !extras_->try_acquire(part.service, now)) {
        return;
    }
    counters_->add(counter::parts_hedged);
    send_part(call, index, selected, trace_step::hedge);
}

auto relay_coordinator::on_goal(const shared_call& call) -> void
{
    call->goal_timer = 0;
    call->past_goal = true;
    finish_if_done(call);
}

auto relay_coordinator::on_deadline(const shared_call& call) -> void
{
    call->deadline_timer = 0;
    if (call->matched_route->is_query()) {
        finish_query(call, true);
    } else {
        finish_relay(call, true);
    }
}

} // namespace knapweedchute
