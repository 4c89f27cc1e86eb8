// The part of relay_coordinator that ends requests.
#include <knapweedchute/relay/record_merge.hpp>
#include <knapweedchute/relay/refusal_answer.hpp>
#include <knapweedchute/relay/relay_coordinator.hpp>

#include <algorithm>
#include <utility>

namespace knapweedchute {
namespace {

constexpr auto status_success = 200U;
/// Shares of shards are fractions; a share that is just met must not fail by rounding.
constexpr auto rounding = 1e-9;

} // namespace

auto relay_coordinator::finish_if_done(const shared_call& of) -> void
{
    if (of->ended) {
        return;
    }
    const auto count = [&](auto test) {
        return static_cast<double>(std::count_if(of->parts.begin(), of->parts.end(), test));
    };
    const auto total = static_cast<double>(of->parts.size());
    const auto answered = count([](const part& one) { return one.answer.has_value(); });
    const auto failed = count([](const part& one) { return one.failed; });
    const auto all_done = answered + failed == total;
    if (!of->way->is_query()) {
        if (all_done) {
            finish_relay(of, false);
        }
        return;
    }
    const auto least = of->way->least_coverage * total - rounding;
    const auto enough = answered > 0 && answered >= least;
    const auto hopeless = total - failed < least;
    if (all_done || hopeless || (of->past_goal && enough)) {
        finish_query(of, false);
    }
}

auto relay_coordinator::finish_query(const shared_call& of, bool timed_out) -> void
{
    const auto answered =
        static_cast<double>(std::count_if(of->parts.begin(), of->parts.end(),
                                          [](const part& one) { return one.answer.has_value(); }));
    const auto total = static_cast<double>(of->parts.size());
    if (answered == 0 || answered < of->way->least_coverage * total - rounding) {
        end(of, failure_of(*of, timed_out));
        return;
    }
    counters_->add(answered < total ? counter::queries_partial : counter::queries_answered);
    end(of, merge(*of));
}

auto relay_coordinator::finish_relay(const shared_call& of, bool timed_out) -> void
{
    auto& only = of->parts.front();
    if (only.answer) {
        counters_->add(counter::queries_answered);
        end(of, std::move(*only.answer));
        return;
    }
    if (only.failure) {
        counters_->add(counter::queries_refused);
        end(of, std::move(*only.failure));
        return;
    }
    end(of, failure_of(*of, timed_out));
}

auto relay_coordinator::merge(call& of) const -> relayed_answer
{
    auto bodies = std::vector<std::string>{};
    auto proofs = std::string{};
    auto missing = std::size_t{0};
    for (auto& one : of.parts) {
        if (!one.answer) {
            missing += 1;
            continue;
        }
        proofs +=
            (proofs.empty() ? "" : ", ") + find_field(one.answer->fields, names_.proof)->value;
        bodies.push_back(std::move(one.answer->body));
    }
    return {status_success,
            {{names_.request_id, of.request.id},
             {names_.proofs, std::move(proofs)},
             {names_.missing, std::to_string(missing)}},
            merge_records(bodies, of.way->top)};
}

auto relay_coordinator::failure_of(const call& of, bool timed_out) const -> relayed_answer
{
    constexpr auto bad_gateway = 502U;
    constexpr auto gateway_timeout = 504U;
    const auto may_have_run = std::any_of(of.parts.begin(), of.parts.end(), [](const part& one) {
        return one.may_have_run || !one.live.empty() || one.answer;
    });
    counters_->add(counter::queries_refused);
    if (!may_have_run) {
        return not_run_answer("no target can take the request", policy_.retry_after);
    }
    return timed_out ? own_answer(gateway_timeout, "not answered in time")
                     : own_answer(bad_gateway, "targets failed");
}

auto relay_coordinator::end(const shared_call& of, relayed_answer answer) -> void
{
    of->ended = true;
    log_.on_end(*of, answer.status, timers_->now());
    metrics_.on_request(*of, answer.status, timers_->now());
    release(*of, false);
    const auto respond = std::move(of->respond);
    respond(std::move(answer));
}

} // namespace knapweedchute
