// Member functions of relay_coordinator that keep answers and end requests.
#include <knapweedchute/relay/record_merge.hpp>
#include <knapweedchute/relay/refusal_answer.hpp>
#include <knapweedchute/relay/relay_coordinator.hpp>

#include <algorithm>
#include <utility>

namespace knapweedchute {
namespace {

constexpr auto status_success = 200U;
constexpr auto status_server_error = 500U;
constexpr auto bad_gateway = 502U;
/// Coverage that meets the minimum exactly must not fail because of rounding.
constexpr auto rounding_tolerance = 1e-9;

} // namespace

auto relay_coordinator::keep_answer(const shared_call& call, std::optional<relayed_answer>& kept,
                                    relayed_answer answer) -> void
{
    call->kept_bytes -= kept ? kept->body.capacity() : 0;
    call->kept_bytes += answer.body.capacity();
    kept = std::move(answer);
    if (!call->memory && call->kept_bytes >= memory_reservation::min_reserved) {
        const auto evict = [this, weak = std::weak_ptr{call}] {
            if (const auto evicted = weak.lock()) {
                schedule(evicted, timers_->now(), &relay_coordinator::on_eviction);
            }
        };
        call->memory = std::make_unique<memory_reservation>(*memory_, evict);
    }
    if (call->memory) {
        call->memory->resize(call->kept_bytes);
    }
}

auto relay_coordinator::on_eviction(const shared_call& call) -> void
{
    counters_->add(counter::queries_refused);
    finish_call(call, error_answer(bad_gateway, "answers exceed the memory for them"));
}

auto relay_coordinator::finish_if_done(const shared_call& call) -> void
{
    if (call->ended()) {
        return;
    }
    const auto count = [&](auto test) {
        return static_cast<double>(std::count_if(call->parts.begin(), call->parts.end(), test));
    };
    const auto total = static_cast<double>(call->parts.size());
    const auto answered = count([](const part_state& part) { return part.answer.has_value(); });
    const auto failed = count([](const part_state& part) { return part.failed; });
    const auto all_done = answered + failed == total;
    if (!call->matched_route->is_query()) {
        if (all_done) {
            finish_relay(call, false);
        }
        return;
    }
    const auto min_answered = call->matched_route->min_coverage * total - rounding_tolerance;
    const auto has_coverage = answered > 0 && answered >= min_answered;
    const auto unreachable = total - failed < min_answered;
    if (all_done || unreachable || (call->past_goal && has_coverage)) {
        finish_query(call, false);
    }
}

auto relay_coordinator::finish_query(const shared_call& call, bool timed_out) -> void
{
    const auto answered = static_cast<double>(
        std::count_if(call->parts.begin(), call->parts.end(),
                      [](const part_state& part) { return part.answer.has_value(); }));
    const auto total = static_cast<double>(call->parts.size());
    if (answered == 0 ||
        answered < call->matched_route->min_coverage * total - rounding_tolerance) {
        finish_call(call, failure_answer(*call, timed_out));
        return;
    }
    counters_->add(answered < total ? counter::queries_partial : counter::queries_answered);
    finish_call(call, merge_answers(*call));
}

auto relay_coordinator::finish_relay(const shared_call& call, bool timed_out) -> void
{
    auto& part = call->parts.front();
    if (part.answer) {
        counters_->add(counter::queries_answered);
        finish_call(call, std::move(*part.answer));
        return;
    }
    if (part.failure) {
        counters_->add(counter::queries_refused);
        finish_call(call, std::move(*part.failure));
        return;
    }
    finish_call(call, failure_answer(*call, timed_out));
}

auto relay_coordinator::merge_answers(call_state& call) const -> relayed_answer
{
    auto bodies = std::vector<std::string>{};
    auto proofs = std::string{};
    auto missing = std::size_t{0};
    for (auto& part : call.parts) {
        if (!part.answer) {
            missing += 1;
            continue;
        }
        proofs +=
            (proofs.empty() ? "" : ", ") + find_field(part.answer->fields, names_.proof)->value;
        bodies.push_back(std::move(part.answer->body));
    }
    return {status_success,
            {{names_.request_id, call.request.id},
             {names_.proofs, std::move(proofs)},
             {names_.missing, std::to_string(missing)}},
            merge_records(bodies, call.matched_route->top)};
}

auto relay_coordinator::failure_answer(const call_state& call, bool timed_out) -> relayed_answer
{
    constexpr auto gateway_timeout = 504U;
    const auto may_have_run =
        std::any_of(call.parts.begin(), call.parts.end(), [](const part_state& part) {
            return part.may_have_run || !part.open_exchanges.empty() || part.answer;
        });
    counters_->add(counter::queries_refused);
    if (!may_have_run && call.key_refusal) {
        return authorizer_->refusal(*call.key_refusal);
    }
    if (!may_have_run) {
        return not_run_answer("no target can take the request",
                              admission_.retry_after(call.admission, timers_->now()));
    }
    return timed_out ? error_answer(gateway_timeout, "not answered in time")
                     : error_answer(bad_gateway, "targets failed");
}

auto relay_coordinator::end_of(const call_state& call, const relayed_answer& answer) const
    -> request_end
{
    const auto now = timers_->now();
    if (answer.status < status_server_error) {
        const auto late = now - call.started > call.matched_route->latency_goal;
        return late ? request_end::overloaded : request_end::in_time;
    }
    const auto rejected = std::any_of(call.parts.begin(), call.parts.end(),
                                      [](const part_state& part) { return part.rejected; });
    return rejected || now >= call.deadline ? request_end::overloaded : request_end::no_evidence;
}

auto relay_coordinator::finish_call(const shared_call& call, relayed_answer answer) -> void
{
    log_.on_end(*call, answer.status, timers_->now());
    metrics_.on_request(*call, answer.status, timers_->now());
    const auto respond = std::move(call->respond);
    const auto end = end_of(*call, answer);
    release_call(call, end, false);
    respond(std::move(answer));
}

} // namespace knapweedchute
