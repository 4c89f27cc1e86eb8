// Member functions of relay_coordinator that admit, start and release requests.
#include <knapweedchute/relay/refusal_answer.hpp>
#include <knapweedchute/relay/relay_coordinator.hpp>

#include <algorithm>
#include <utility>

namespace knapweedchute {

using impl::call_stage;

namespace {

constexpr auto status_not_found = 404U;
constexpr auto status_unavailable = 503U;
/// Latency goals reserved before the end of a stop for a request that must not run twice: cut
/// there, its outcome would stay unknown to the caller.
constexpr auto at_most_once_reserve = 3;

auto path_of(const std::string& target) -> std::string_view
{
    return std::string_view{target}.substr(0, target.find('?'));
}

/// Requests to the same services share capacity, whatever their route.
auto group_of(const std::vector<std::string>& services) -> std::string
{
    return services.empty() ? std::string{} : services.front();
}

} // namespace

auto relay_coordinator::start(std::shared_ptr<const route_table> table, relayed_request request,
                              responder respond) -> call_id
{
    counters_->add(counter::queries_received);
    const auto* matched = table ? table->find(request.host, path_of(request.target)) : nullptr;
    if (matched == nullptr) {
        respond(refuse_without_route(table.get(), request));
        return 0;
    }
    auto authorized = authorizer_ == nullptr ? authorization{}
                                             : authorizer_->authorize(*table, *matched, request);
    if (authorized.refusal) {
        counters_->add(authorized.refusal->status == status_unavailable ? counter::keys_unproved
                                                                        : counter::keys_refused);
        respond(std::move(*authorized.refusal));
        return 0;
    }
    auto call = std::make_shared<call_state>();
    call->id = next_call_++;
    call->key = authorized.key;
    call->workspace = authorized.owner == nullptr ? std::string{} : authorized.owner->name;
    call->matched_route = matched;
    call->table = std::move(table);
    call->request = std::move(request);
    call->respond = std::move(respond);
    call->started = timers_->now();
    const auto requested_timeout = call->request.deadline.value_or(matched->timeout);
    call->deadline =
        call->started + std::min(requested_timeout, matched->timeout) - policy_.answer_margin;
    const auto services = matched->is_query()
                              ? matched->shards
                              : std::vector<std::string>{split_.next_service(*matched)};
    for (const auto& service : services) {
        call->parts.emplace_back().service = service;
        extras_->on_request(service, call->started);
    }
    call->admission = {call->id,
                       group_of(services),
                       matched,
                       call->deadline,
                       capacity_.slots_of(*matched, services),
                       route_latency_.typical(*matched),
                       authorized.owner != nullptr && authorized.owner->priority
                           ? *authorized.owner->priority
                           : matched->priority,
                       call->workspace};
    calls_.emplace(call->id, call);
    admit(call);
    return call->ended() ? 0 : call->id;
}

auto relay_coordinator::refuse_without_route(const route_table* table,
                                             const relayed_request& request) -> relayed_answer
{
    counters_->add(counter::queries_refused);
    if (table == nullptr) {
        log_.on_no_configuration(request, timers_->now());
        return not_run_answer("no configuration yet",
                              retry_after_start(timers_->now() - created_at_));
    }
    counters_->add(counter::queries_without_route);
    const auto age = configuration_age_ ? configuration_age_() : duration::zero();
    const auto current = age && *age <= policy_.max_refuse_age;
    log_.on_no_route(request, table->version(), age, timers_->now());
    // Another instance may have the route.
    return current ? error_answer(status_not_found, "no route")
                   : not_run_answer("configuration out of date", duration::zero());
}

auto relay_coordinator::admit(const shared_call& call) -> void
{
    const auto now = timers_->now();
    if (call->deadline - now < policy_.min_time_left) {
        reject(call, "too little time left", {});
        return;
    }
    if (!fits_before_stop(*call, now)) {
        reject(call, "stopping", {});
        return;
    }
    if (call->admission.slots <= 0.0) {
        reject(call, "no target can take the request", {});
        return;
    }
    const auto verdict = policy_.limit_concurrency ? admission_.on_arrival(call->admission, now)
                                                   : admission_verdict{};
    if (verdict.decision == admission_decision::start) {
        begin(call);
        return;
    }
    if (verdict.decision == admission_decision::reject) {
        reject(call, "too many requests", verdict);
        return;
    }
    counters_->add(counter::queries_waited);
    call->wait_timer = schedule(call, now + verdict.max_wait, &relay_coordinator::on_wait_end);
}

auto relay_coordinator::fits_before_stop(const call_state& call, time_point now) const -> bool
{
    const auto& matched = *call.matched_route;
    const auto reserve = matched.latency_goal * (matched.idempotent ? 1 : at_most_once_reserve);
    return !stop_at_ || now + std::min<duration>(reserve, call.deadline - now) <= *stop_at_;
}

auto relay_coordinator::begin(const shared_call& call) -> void
{
    timers_->cancel(std::exchange(call->wait_timer, 0));
    call->stage = call_stage::admitted;
    call->admitted_at = timers_->now();
    set_timers(call);
    for (auto index = std::size_t{0}; index < call->parts.size(); ++index) {
        dispatch_part(call, index);
    }
    finish_if_done(call);
}

auto relay_coordinator::on_wait_end(const shared_call& call) -> void
{
    call->wait_timer = 0;
    admission_.withdraw(call->admission);
    reject(call, "too many requests", {});
}

auto relay_coordinator::reject(const shared_call& call, std::string_view reason,
                               const admission_verdict& verdict) -> void
{
    const auto now = timers_->now();
    auto wait = duration::zero(); // Another instance can serve a caller of one that stops.
    if (fits_before_stop(*call, now)) {
        wait = call->admission.slots > 0.0 ? admission_.retry_after(call->admission, now)
                                           : admission_.retry_after_outage(call->admission, now);
    }
    call->shed = true;
    counters_->add(counter::queries_shed);
    log_.on_reject(*call, reason, verdict, wait, now);
    finish_call(call, not_run_answer(reason, wait));
}

auto relay_coordinator::admit_waiting(const std::string& group) -> void
{
    // A request that ends inside `begin` calls this function again; the outer loop goes on.
    if (std::exchange(admitting_, true)) {
        return;
    }
    while (const auto next = admission_.admit_waiting(group, timers_->now())) {
        if (const auto found = calls_.find(*next); found != calls_.end()) {
            const auto call = found->second;
            begin(call);
        }
    }
    admitting_ = false;
}

auto relay_coordinator::set_timers(const shared_call& call) -> void
{
    call->deadline_timer = schedule(call, call->deadline, &relay_coordinator::on_deadline);
    if (call->matched_route->idempotent) {
        call->straggler_timer = schedule(
            call, call->admitted_at + route_latency_.straggler_threshold(*call->matched_route),
            &relay_coordinator::hedge_stragglers);
    }
    const auto goal = call->started + call->matched_route->latency_goal - policy_.goal_margin;
    if (call->matched_route->is_query() && goal < call->deadline) {
        call->goal_timer = schedule(call, goal, &relay_coordinator::on_goal);
    }
}

auto relay_coordinator::cancel(call_id id) -> void
{
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    const auto call = found->second;
    counters_->add(counter::callers_left);
    release_call(call, request_end::no_evidence, true);
}

auto relay_coordinator::fail_all() -> void
{
    auto open_calls = std::vector<shared_call>{};
    for (const auto& [id, call] : calls_) {
        open_calls.push_back(call);
    }
    for (const auto& call : open_calls) {
        if (call->ended()) {
            continue;
        }
        if (call->matched_route->is_query()) {
            finish_query(call, false);
        } else {
            finish_relay(call, false);
        }
    }
}

auto relay_coordinator::release_call(const shared_call& call, request_end end, bool immediately)
    -> void
{
    const auto admitted = call->stage == call_stage::admitted;
    call->stage = call_stage::ended;
    for (const auto timer :
         {call->straggler_timer, call->goal_timer, call->deadline_timer, call->wait_timer}) {
        timers_->cancel(timer);
    }
    auto open_exchanges = std::vector<exchange_id>{};
    for (auto index = std::size_t{0}; index < call->parts.size(); ++index) {
        for (const auto& [exchange, sent] : call->parts[index].open_exchanges) {
            open_exchanges.push_back(exchange);
        }
        if (call->parts[index].waiting) {
            waiting_.erase({call->admission.priority, call->deadline, call->id, index});
        }
    }
    counters_->add(counter::parts_cancelled, open_exchanges.size());
    calls_.erase(call->id);
    call->memory.reset();
    const auto cancel_exchanges = [port = port_, open_exchanges] {
        for (const auto exchange : open_exchanges) {
            port->cancel(exchange);
        }
    };
    if (immediately) {
        cancel_exchanges();
    } else if (!open_exchanges.empty()) {
        timers_->at(timers_->now() + policy_.cancel_delay, cancel_exchanges);
    }
    release_admission(*call, end, admitted);
}

auto relay_coordinator::release_admission(const call_state& call, request_end end, bool admitted)
    -> void
{
    if (!policy_.limit_concurrency) {
        return;
    }
    const auto now = timers_->now();
    if (admitted) {
        admission_.on_end(call.admission, end, now - call.admitted_at, now);
    } else {
        admission_.withdraw(call.admission);
    }
    admit_waiting(call.admission.group);
}

} // namespace knapweedchute
