#include <knapweedchute/relay/refusal_answer.hpp>
#include <knapweedchute/relay/relay_coordinator.hpp>
#include <knapweedchute/relay/request_encoder.hpp>

#include <algorithm>
#include <utility>

namespace knapweedchute {

using impl::trace_step;

namespace {

constexpr auto status_not_found = 404U;
constexpr auto status_server_error = 500U;
constexpr auto status_success = 200U;
constexpr auto status_redirect = 300U;
/// Multiple of a route's usual time from which a request counts as slow for its version.
constexpr auto slow_multiple = 3;

auto path_of(const std::string& target) -> std::string_view
{
    return std::string_view{target}.substr(0, target.find('?'));
}

/// Whether an end says nothing about how the target does its work.
auto is_silent(exchange_end end) -> bool
{
    return provably_not_run(end) || end == exchange_end::unknown;
}

auto is_success(const relayed_answer& answer) -> bool
{
    return answer.status >= status_success && answer.status < status_redirect;
}

} // namespace

relay_coordinator::relay_coordinator(relay_policy policy, header_names names,
                                     const std::string& own_zone, relay_parts parts,
                                     std::uint64_t seed)
    : policy_{policy}, names_{std::move(names)}, registry_{&parts.registry}, port_{&parts.port},
      timers_{&parts.timers}, extras_{&parts.extras}, cold_{&parts.cold},
      versions_{&parts.versions}, counters_{&parts.counters},
      placing_{policy, own_zone, parts.registry, parts.port, parts.cold, seed}, log_{parts.counters}
{
}

auto relay_coordinator::start(std::shared_ptr<const route_table> table, relayed_request request,
                              responder respond) -> call_id
{
    counters_->add(counter::queries_received);
    const auto* way = table ? table->find(request.host, path_of(request.target)) : nullptr;
    if (way == nullptr) {
        counters_->add(counter::queries_refused);
        respond(table ? own_answer(status_not_found, "no route")
                      : not_run_answer("no configuration yet", policy_.retry_after));
        return 0;
    }
    auto started = std::make_shared<call>();
    started->id = next_call_++;
    started->way = way;
    started->table = std::move(table);
    started->request = std::move(request);
    started->respond = std::move(respond);
    started->started = timers_->now();
    const auto asked = started->request.deadline.value_or(way->timeout);
    started->deadline = started->started + std::min(asked, way->timeout) - policy_.answer_margin;
    const auto services =
        way->is_query() ? way->shards : std::vector<std::string>{split_.next(*way)};
    for (const auto& service : services) {
        started->parts.emplace_back().service = service;
        extras_->on_request(service, started->started);
    }
    calls_.emplace(started->id, started);
    set_timers(started);
    for (auto index = std::size_t{0}; index < started->parts.size(); ++index) {
        dispatch(started, index);
    }
    finish_if_done(started);
    return started->ended ? 0 : started->id;
}

auto relay_coordinator::leave(call_id id) -> void
{
    const auto known = calls_.find(id);
    if (known == calls_.end()) {
        return;
    }
    const auto left = known->second;
    left->ended = true;
    counters_->add(counter::callers_left);
    release(*left, true);
}

auto relay_coordinator::give_up_all() -> void
{
    auto open = std::vector<shared_call>{};
    for (const auto& [id, one] : calls_) {
        open.push_back(one);
    }
    for (const auto& one : open) {
        if (one->way->is_query()) {
            finish_query(one, false);
        } else {
            finish_relay(one, false);
        }
    }
}

auto relay_coordinator::retry_waiting() -> void
{
    auto waiting = std::exchange(waiting_, {});
    for (const auto& [priority, deadline, id, index] : waiting) {
        const auto known = calls_.find(id);
        if (known == calls_.end()) {
            continue;
        }
        const auto of = known->second;
        of->parts[index].waiting = false;
        if (!of->ended && !of->parts[index].done()) {
            dispatch(of, index);
            finish_if_done(of);
        }
    }
}

auto relay_coordinator::call_at(const shared_call& of, time_point when, call_event event)
    -> timer_id
{
    return timers_->at(when, [this, weak = std::weak_ptr{of}, event] {
        if (const auto alive = weak.lock(); alive && !alive->ended) {
            (this->*event)(alive);
        }
    });
}

auto relay_coordinator::set_timers(const shared_call& of) -> void
{
    of->deadline_timer = call_at(of, of->deadline, &relay_coordinator::on_deadline);
    if (of->way->idempotent) {
        of->straggler_timer = call_at(of, of->started + pace_.straggling_after(*of->way),
                                      &relay_coordinator::hedge_stragglers);
    }
    const auto goal = of->started + of->way->latency_goal - policy_.goal_margin;
    if (of->way->is_query() && goal < of->deadline) {
        of->goal_timer = call_at(of, goal, &relay_coordinator::on_goal);
    }
}

auto relay_coordinator::dispatch(const shared_call& of, std::size_t index) -> void
{
    auto& wanted = of->parts[index];
    const auto now = timers_->now();
    if (of->deadline - now < policy_.least_useful) {
        return;
    }
    const auto where = placing_.choose(wanted.service, wanted.tried, now);
    if (where.target) {
        send(of, index, where, wanted.tried.empty() ? trace_step::send : trace_step::retry);
        return;
    }
    if (!wanted.live.empty()) {
        return;
    }
    trace(*of, index, where.only_full ? trace_step::wait : trace_step::no_target, where);
    if (where.only_full) {
        wait_for_room(of, index);
        return;
    }
    wanted.failed = true;
}

auto relay_coordinator::wait_for_room(const shared_call& of, std::size_t index) -> void
{
    of->parts[index].waiting = true;
    waiting_.emplace(of->way->priority, of->deadline, of->id, index);
}

auto relay_coordinator::trace(call& of, std::size_t index, trace_step step, const placement& where)
    -> void
{
    auto& about = of.parts[index];
    const auto usable = registry_->usable(about.service).size();
    about.steps.push_back(
        {timers_->now() - of.started, step, where.target, where.cost, usable, {}, 0});
}

auto relay_coordinator::send(const shared_call& of, std::size_t index, const placement& where,
                             trace_step why) -> void
{
    trace(*of, index, why, where);
    if (index == 0 && why == trace_step::send) {
        metrics_.on_first_send(timers_->now() - of->started);
    }
    auto& sent = of->parts[index];
    const auto now = timers_->now();
    const auto left = std::chrono::duration_cast<milliseconds>(of->deadline - now);
    auto order =
        exchange_order{where.target, encode_request(of->request, names_, *where.target, left),
                       of->request.id, of->request.method != "HEAD", of->way->idempotent};
    sent.tried.push_back(where.target->id);
    placing_.load(where.target->id).on_send(now, pace_.usual(*of->way));
    cold_->on_send(*where.target, now);
    counters_->add(counter::parts_sent);
    // The id is known only after the call, the listener runs only after it.
    auto id = std::make_shared<exchange_id>(0);
    *id = port_->send(std::move(order),
                      [this, of, index, now, id, target = where.target](exchange_result result) {
                          on_end(of, index, now, *id, target, std::move(result));
                      });
    sent.live.emplace(*id, now);
}

auto relay_coordinator::is_useful(const exchange_result& result) const -> bool
{
    return result.end == exchange_end::answered && is_success(result.answer) &&
           find_field(result.answer.fields, names_.proof) != nullptr;
}

auto relay_coordinator::note_end(const call& of, const target_record& target, time_point sent,
                                 const exchange_result& result) -> void
{
    const auto now = timers_->now();
    const auto elapsed = now - sent;
    const auto useful = is_useful(result);
    const auto usual = pace_.usual(*of.way);
    const auto given_up = of.ended && result.end == exchange_end::unknown;
    const auto stale_connection = result.end == exchange_end::broken && result.kept_connection;
    const auto failed = !useful && !given_up && !stale_connection;
    placing_.load(target.id).on_end(sent, now, usual, failed);
    if (!result.never_sent) {
        metrics_.on_exchange(result.end, elapsed);
        // The making of a connection is no fault of a version, a refusal for want of room neither,
        // and what was cancelled tells by its time alone.
        const auto slow = result.kept_connection && elapsed > usual * slow_multiple;
        versions_->add_observation(target.service, target.version,
                                   {failed && !is_silent(result.end), false, slow}, now);
    }
    if (useful) {
        pace_.on_answer(*of.way, elapsed);
    }
}

auto relay_coordinator::on_end(const shared_call& of, std::size_t index, time_point sent,
                               exchange_id exchange,
                               const std::shared_ptr<const target_record>& target,
                               exchange_result result) -> void
{
    const auto useful = is_useful(result);
    note_end(*of, *target, sent, result);
    if (result.end == exchange_end::wrong_target) {
        registry_->mark_stale(target->id, target->start_unix_ms);
    }
    auto& ended = of->parts[index];
    ended.live.erase(exchange);
    if (!useful) {
        ended.steps.push_back({timers_->now() - of->started, trace_step::end, target, 0.0, 0,
                               result.end, result.answer.status});
    }
    if (!of->ended && !ended.done()) {
        ended.last_end = result.end;
        ended.may_have_run = ended.may_have_run || !provably_not_run(result.end);
        if (useful) {
            ended.answer = std::move(result.answer);
            for (const auto& [other, since] : ended.live) {
                counters_->add(counter::parts_cancelled);
                port_->cancel(other);
            }
        } else {
            on_failure(of, index, result);
        }
        finish_if_done(of);
    }
    if (!waiting_.empty()) {
        retry_waiting();
    }
}

auto relay_coordinator::on_failure(const shared_call& of, std::size_t index,
                                   const exchange_result& result) -> void
{
    auto& failed = of->parts[index];
    counters_->add(counter::parts_failed);
    if (result.end == exchange_end::answered) {
        failed.failure = result.answer;
    }
    if (result.never_sent) {
        failed.unsent += 1;
    }
    if (may_retry(*of, failed, result)) {
        counters_->add(counter::parts_retried);
        dispatch(of, index);
    }
    failed.failed = failed.failed || (failed.live.empty() && !failed.waiting);
}

auto relay_coordinator::may_retry(const call& of, const part& failed, const exchange_result& result)
    -> bool
{
    const auto told_final = result.end == exchange_end::answered &&
                            result.answer.status < status_server_error &&
                            !is_success(result.answer);
    const auto repeatable = of.way->idempotent || provably_not_run(result.end);
    if (told_final || !repeatable) {
        return false;
    }
    if (result.never_sent) {
        return failed.unsent < policy_.most_unsent;
    }
    return failed.tried.size() - failed.unsent < of.way->most_targets &&
           extras_->take(failed.service, timers_->now());
}

auto relay_coordinator::hedge_stragglers(const shared_call& of) -> void
{
    const auto usual = pace_.usual(*of->way);
    of->straggler_timer = 0;
    // More than half of the goal: slowness is general, more requests would only add to it.
    if (usual * 2 > of->way->latency_goal) {
        return;
    }
    for (auto index = std::size_t{0}; index < of->parts.size(); ++index) {
        hedge(of, index);
    }
    of->straggler_checks += 1;
    if (of->straggler_checks < policy_.straggler_checks) {
        of->straggler_timer =
            call_at(of, timers_->now() + usual, &relay_coordinator::hedge_stragglers);
    }
}

auto relay_coordinator::hedge(const shared_call& of, std::size_t index) -> void
{
    auto& slow = of->parts[index];
    if (slow.done() || slow.live.size() != 1 ||
        slow.tried.size() - slow.unsent >= of->way->most_targets) {
        return;
    }
    const auto now = timers_->now();
    const auto where = placing_.choose(slow.service, slow.tried, now);
    const auto behind = placing_.load(slow.tried.back()).cost(now);
    if (!where.target || where.cost >= behind || !extras_->take(slow.service, now)) {
        return;
    }
    counters_->add(counter::parts_hedged);
    send(of, index, where, trace_step::hedge);
}

auto relay_coordinator::on_goal(const shared_call& of) -> void
{
    of->goal_timer = 0;
    of->past_goal = true;
    finish_if_done(of);
}

auto relay_coordinator::on_deadline(const shared_call& of) -> void
{
    of->deadline_timer = 0;
    if (of->way->is_query()) {
        finish_query(of, true);
    } else {
        finish_relay(of, true);
    }
}

auto relay_coordinator::release(call& of, bool at_once) -> void
{
    for (const auto timer : {of.straggler_timer, of.goal_timer, of.deadline_timer}) {
        timers_->cancel(timer);
    }
    auto live = std::vector<exchange_id>{};
    for (auto index = std::size_t{0}; index < of.parts.size(); ++index) {
        for (const auto& [exchange, sent] : of.parts[index].live) {
            live.push_back(exchange);
        }
        if (of.parts[index].waiting) {
            waiting_.erase({of.way->priority, of.deadline, of.id, index});
        }
    }
    counters_->add(counter::parts_cancelled, live.size());
    calls_.erase(of.id);
    const auto cancel = [port = port_, live] {
        for (const auto exchange : live) {
            port->cancel(exchange);
        }
    };
    if (at_once) {
        cancel();
    } else if (!live.empty()) {
        timers_->at(timers_->now() + policy_.linger, cancel);
    }
}

} // namespace knapweedchute
