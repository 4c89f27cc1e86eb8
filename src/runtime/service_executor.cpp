#include <knapweedchute/query/target_codec.hpp>
#include <knapweedchute/runtime/service_executor.hpp>

#include <algorithm>
#include <utility>

namespace knapweedchute {
namespace {

constexpr auto probe_interval = milliseconds{500};
constexpr auto probe_timeout = milliseconds{1'000};
constexpr auto sweep_interval = milliseconds{2};
constexpr auto idle_interval = milliseconds{100};
constexpr auto status_ok = 200L;
constexpr auto status_unavailable = 503L;

auto remaining_time(time_point deadline) -> milliseconds
{
    const auto left = std::chrono::ceil<milliseconds>(deadline - steady_clock::now());
    return std::max(left, milliseconds{1});
}

auto to_attempt_failure(const transfer_result& result) -> attempt_failure
{
    switch (result.status) {
    case transfer_status::not_connected:
        return attempt_failure::not_connected;
    case transfer_status::timed_out:
        return result.reused_connection ? attempt_failure::silent : attempt_failure::timed_out;
    case transfer_status::broken:
        return attempt_failure::broken;
    case transfer_status::answered:
        break;
    }
    return result.http_status == status_unavailable ? decode_target_refusal(result.body)
                                                    : attempt_failure::failed;
}

} // namespace

service_executor::service_executor(transfer_worker& worker, forwarder& remote,
                                   request_policy policy, const replica_selector& selector,
                                   counter_set& counters, std::uint64_t seed)
    : worker_{&worker}, remote_{&remote}, counters_{&counters}, coordinator_{policy, selector,
                                                                             counters, seed}
{
}

auto service_executor::configure(const service_view& view, time_point now) -> void
{
    decide([&](auto& coordinator) { return coordinator.configure(view, now); });
    next_probe_ = now;
}

auto service_executor::allow_requests_until(time_point until) -> void
{
    const auto lock = std::lock_guard{mutex_};
    coordinator_.allow_new_work_until(until);
}

auto service_executor::search(search_request request, completion done) -> void
{
    const auto query = next_query_++;
    completions_.emplace(query, std::move(done));
    decide([&](auto& coordinator) {
        return coordinator.start_search(query, std::move(request), steady_clock::now());
    });
}

auto service_executor::search_forwarded(const forwarded_request& request, completion done) -> void
{
    const auto query = next_query_++;
    completions_.emplace(query, std::move(done));
    decide([&](auto& coordinator) {
        return coordinator.start_forwarded(query, request, steady_clock::now());
    });
}

auto service_executor::run(run_request request, completion done) -> void
{
    const auto query = next_query_++;
    completions_.emplace(query, std::move(done));
    decide([&](auto& coordinator) {
        return coordinator.start_run(query, std::move(request), steady_clock::now());
    });
}

auto service_executor::tick(time_point now) -> time_point
{
    if (now >= next_probe_) {
        next_probe_ = now + probe_interval;
        probe_targets(now);
    }
    auto next = next_probe_;
    auto due = false;
    {
        const auto lock = std::lock_guard{mutex_};
        const auto timer = coordinator_.next_tick();
        const auto waiting = coordinator_.waiting_parts() > 0;
        due = (timer && *timer <= now) || (waiting && now >= next_sweep_);
        next = timer ? std::min(next, *timer) : next;
        next = waiting ? std::min(next, now + sweep_interval) : next;
    }
    if (!due) {
        return next;
    }
    next_sweep_ = now + sweep_interval;
    decide([&](auto& coordinator) { return coordinator.tick(now); });
    return std::min(next_sweep_, now + idle_interval);
}

auto service_executor::set_new_version_share(std::int64_t share_permil) -> void
{
    const auto lock = std::lock_guard{mutex_};
    coordinator_.set_new_version_share(share_permil);
}

auto service_executor::tallies(const rollout_spec& rollout) const
    -> std::map<std::string, version_tally>
{
    const auto lock = std::lock_guard{mutex_};
    const auto is_current_rollout = coordinator_.service().rollout == rollout;
    return is_current_rollout ? coordinator_.tallies() : std::map<std::string, version_tally>{};
}

auto service_executor::queries_in_progress() const -> std::size_t
{
    const auto lock = std::lock_guard{mutex_};
    return coordinator_.queries_in_progress();
}

auto service_executor::dump(time_point now) const -> nlohmann::json
{
    const auto lock = std::lock_guard{mutex_};
    auto targets = nlohmann::json::array();
    for (const auto& [target_address, target] : coordinator_.targets().targets()) {
        const auto latency = std::chrono::duration_cast<microseconds>(target->latency);
        targets.push_back({{"address", to_string(target_address)},
                           {"availability_zone", target->spec.availability_zone},
                           {"zone_out", target->zone_excluded},
                           {"leaving", target->leaving},
                           {"known", target->report.has_value()},
                           {"ejected", target->ejected_until && now < *target->ejected_until},
                           {"warming", target->warmup.warming(now)},
                           {"allowance", target->allowance(now)},
                           {"in_flight", target->in_flight},
                           {"latency_us", latency.count()}});
    }
    auto versions = nlohmann::json::object();
    for (const auto& [name, counts] : coordinator_.tallies()) {
        versions[name] = {{"queries", counts.queries},
                          {"incomplete", counts.incomplete},
                          {"empty", counts.empty},
                          {"slow", counts.slow},
                          {"intervals", counts.intervals}};
    }
    const auto& latencies = coordinator_.hedges().latencies();
    const auto median = std::chrono::duration_cast<microseconds>(latencies.median());
    return {{"queries_in_progress", coordinator_.queries_in_progress()},
            {"waiting_parts", coordinator_.waiting_parts()},
            {"slowness_general", coordinator_.hedges().slowness_general()},
            {"median_us", median.count()},
            {"versions", versions},
            {"targets", targets}};
}

auto service_executor::execute(action_list actions) -> void
{
    for (auto& next_action : actions) {
        std::visit([this](auto& specific) { execute(specific); }, next_action);
    }
}

auto service_executor::execute(const send_part& part) -> void
{
    const auto attempt = part.attempt;
    const auto request = transfer_request{part.target,
                                          "/v1/parts",
                                          encode_part(part, steady_clock::now()),
                                          remaining_time(part.deadline),
                                          part.new_connection,
                                          false};
    transfers_[attempt] = worker_->start(
        request, [this, attempt](const auto& result) { on_part_result(attempt, result); });
}

auto service_executor::execute(const forward_parts& parts) -> void
{
    const auto attempt = parts.attempt;
    auto request =
        forwarded_request{parts.service, parts.version, parts.snapshot, parts.total_shards,
                          parts.shards,  parts.text,    parts.top,      parts.deadline};
    remote_->forward(parts.instance, std::move(request), [this, attempt](auto answer) {
        worker_->post([this, attempt, answer = std::move(answer)] {
            decide([&](auto& coordinator) {
                const auto now = steady_clock::now();
                return answer
                           ? coordinator.complete_forwarded(attempt, *answer, now)
                           : coordinator.fail_attempt(attempt, attempt_failure::peer_failed, now);
            });
        });
    });
}

auto service_executor::execute(const send_run& run) -> void
{
    const auto attempt = run.attempt;
    // Uses a new connection: the HTTP library resends a request when a reused connection turns out
    // to be dead, and the run could be executed twice.
    const auto request = transfer_request{
        run.target, "/v1/runs", encode_run(run, steady_clock::now()), remaining_time(run.deadline),
        true,       true};
    transfers_[attempt] = worker_->start(
        request, [this, attempt](auto result) { on_run_result(attempt, std::move(result)); });
}

auto service_executor::execute(const cancel_attempt& cancelled) -> void
{
    const auto found = transfers_.find(cancelled.attempt);
    if (found != transfers_.end()) {
        worker_->cancel(found->second);
        transfers_.erase(found);
    }
}

auto service_executor::execute(answer_query& answer) -> void
{
    finish(answer.query, std::move(answer.answer));
}

auto service_executor::execute(answer_run& answer) -> void
{
    finish(answer.query, std::move(answer.body));
}

auto service_executor::execute(refuse_query& refused) -> void
{
    finish(refused.query, std::move(refused.details));
}

auto service_executor::finish(query_key query, request_result result) -> void
{
    const auto found = completions_.find(query);
    if (found == completions_.end()) {
        return;
    }
    const auto done = std::move(found->second);
    completions_.erase(found);
    done(std::move(result));
}

auto service_executor::on_part_result(attempt_key attempt, const transfer_result& result) -> void
{
    transfers_.erase(attempt);
    auto reason = error{};
    const auto succeeded =
        result.status == transfer_status::answered && result.http_status == status_ok;
    auto answer = succeeded ? decode_part_answer(result.body, reason) : std::nullopt;
    if (succeeded && !answer) {
        counters_->add(counter::answers_rejected);
    }
    if (answer) {
        answer->opened_connection = !result.reused_connection;
    }
    const auto failure = succeeded ? attempt_failure::broken : to_attempt_failure(result);
    decide([&](auto& coordinator) {
        const auto now = steady_clock::now();
        return answer ? coordinator.complete_part(attempt, std::move(*answer), now)
                      : coordinator.fail_attempt(attempt, failure, now);
    });
}

auto service_executor::on_run_result(attempt_key attempt, transfer_result result) -> void
{
    transfers_.erase(attempt);
    const auto ran = result.status == transfer_status::answered && result.http_status == status_ok;
    const auto failure = ran ? attempt_failure::broken : to_attempt_failure(result);
    decide([&](auto& coordinator) {
        const auto now = steady_clock::now();
        return ran ? coordinator.complete_run(attempt, std::move(result.body), now)
                   : coordinator.fail_attempt(attempt, failure, now);
    });
}

auto service_executor::probe_targets(time_point /*now*/) -> void
{
    auto due_targets = std::vector<address>{};
    {
        const auto lock = std::lock_guard{mutex_};
        for (const auto& [target_address, target] : coordinator_.targets().targets()) {
            if (target->next_share.owners > 0 && !probes_.contains(target_address)) {
                due_targets.push_back(target_address);
            }
        }
    }
    for (const auto& target_address : due_targets) {
        probes_.insert(target_address);
        worker_->start({target_address, "/v1/status", {}, probe_timeout, false, false},
                       [this, target_address](const auto& result) {
                           on_probe_result(target_address, result);
                       });
    }
}

auto service_executor::on_probe_result(const address& target, const transfer_result& result) -> void
{
    probes_.erase(target);
    auto reason = error{};
    const auto report =
        result.status == transfer_status::answered && result.http_status == status_ok
            ? decode_target_report(result.body, reason)
            : std::nullopt;
    if (report) {
        const auto lock = std::lock_guard{mutex_};
        coordinator_.on_report(target, *report, steady_clock::now());
    }
}

} // namespace knapweedchute
