#include <knapweedchute/query/target_codec.hpp>
#include <knapweedchute/runtime/service_lane.hpp>

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

auto remaining(time_point deadline) -> milliseconds
{
    const auto left = std::chrono::ceil<milliseconds>(deadline - steady_clock::now());
    return std::max(left, milliseconds{1});
}

auto failure_of(const transfer_result& result) -> attempt_failure
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

service_lane::service_lane(transfer_worker& worker, forwarder& remote, request_policy policy,
                           const replica_selector& chooser, counter_set& counters,
                           std::uint64_t seed)
    : worker_{&worker}, remote_{&remote}, counters_{&counters}, coordinator_{policy, chooser,
                                                                             counters, seed}
{
}

auto service_lane::configure(const service_view& view, time_point now) -> void
{
    decide([&](auto& coordinator) { return coordinator.configure(view, now); });
    next_probe_ = now;
}

auto service_lane::allow_until(time_point until) -> void
{
    const auto lock = std::lock_guard{mutex_};
    coordinator_.allow_new_work_until(until);
}

auto service_lane::search(search_request request, completion done) -> void
{
    const auto query = next_query_++;
    completions_.emplace(query, std::move(done));
    decide([&](auto& coordinator) {
        return coordinator.start_search(query, std::move(request), steady_clock::now());
    });
}

auto service_lane::search_forwarded(const forwarded_request& request, completion done) -> void
{
    const auto query = next_query_++;
    completions_.emplace(query, std::move(done));
    decide([&](auto& coordinator) {
        return coordinator.start_forwarded(query, request, steady_clock::now());
    });
}

auto service_lane::run(run_request request, completion done) -> void
{
    const auto query = next_query_++;
    completions_.emplace(query, std::move(done));
    decide([&](auto& coordinator) {
        return coordinator.start_run(query, std::move(request), steady_clock::now());
    });
}

auto service_lane::tick(time_point now) -> time_point
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

auto service_lane::set_new_version_share(std::int64_t share_permil) -> void
{
    const auto lock = std::lock_guard{mutex_};
    coordinator_.set_new_version_share(share_permil);
}

auto service_lane::tallies(const rollout_spec& move) const -> std::map<std::string, version_tally>
{
    const auto lock = std::lock_guard{mutex_};
    const auto counts_this_move = coordinator_.service().move == move;
    return counts_this_move ? coordinator_.tallies() : std::map<std::string, version_tally>{};
}

auto service_lane::queries_in_progress() const -> std::size_t
{
    const auto lock = std::lock_guard{mutex_};
    return coordinator_.queries_in_progress();
}

auto service_lane::dump(time_point now) const -> nlohmann::json
{
    const auto lock = std::lock_guard{mutex_};
    auto targets = nlohmann::json::array();
    for (const auto& [where, target] : coordinator_.targets().targets()) {
        const auto latency = std::chrono::duration_cast<microseconds>(target->latency);
        targets.push_back({{"address", to_string(where)},
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

auto service_lane::execute(action_list actions) -> void
{
    for (auto& wanted : actions) {
        std::visit([this](auto& specific) { execute(specific); }, wanted);
    }
}

auto service_lane::execute(const send_part& part) -> void
{
    const auto attempt = part.attempt;
    const auto request = transfer_request{part.target,
                                          "/v1/parts",
                                          encode_part(part, steady_clock::now()),
                                          remaining(part.deadline),
                                          part.new_connection,
                                          false};
    transfers_[attempt] = worker_->start(
        request, [this, attempt](const auto& result) { on_part_result(attempt, result); });
}

auto service_lane::execute(const forward_parts& parts) -> void
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

auto service_lane::execute(const send_run& run) -> void
{
    const auto attempt = run.attempt;
    // A connection of its own: the library would send again on a reused one that turns out dead.
    const auto request = transfer_request{
        run.target, "/v1/runs", encode_run(run, steady_clock::now()), remaining(run.deadline),
        true,       true};
    transfers_[attempt] = worker_->start(
        request, [this, attempt](auto result) { on_run_result(attempt, std::move(result)); });
}

auto service_lane::execute(const cancel_attempt& cancelled) -> void
{
    const auto found = transfers_.find(cancelled.attempt);
    if (found != transfers_.end()) {
        worker_->cancel(found->second);
        transfers_.erase(found);
    }
}

auto service_lane::execute(answer_query& answer) -> void
{
    finish(answer.query, std::move(answer.answer));
}

auto service_lane::execute(answer_run& answer) -> void
{
    finish(answer.query, std::move(answer.body));
}

auto service_lane::execute(refuse_query& refused) -> void
{
    finish(refused.query, std::move(refused.details));
}

auto service_lane::finish(query_key query, request_result result) -> void
{
    const auto found = completions_.find(query);
    if (found == completions_.end()) {
        return;
    }
    const auto done = std::move(found->second);
    completions_.erase(found);
    done(std::move(result));
}

auto service_lane::on_part_result(attempt_key attempt, const transfer_result& result) -> void
{
    transfers_.erase(attempt);
    auto reason = error{};
    const auto whole =
        result.status == transfer_status::answered && result.http_status == status_ok;
    auto answer = whole ? decode_part_answer(result.body, reason) : std::nullopt;
    if (whole && !answer) {
        counters_->add(counter::answers_rejected);
    }
    if (answer) {
        answer->opened_connection = !result.reused_connection;
    }
    const auto failure = whole ? attempt_failure::broken : failure_of(result);
    decide([&](auto& coordinator) {
        const auto now = steady_clock::now();
        return answer ? coordinator.complete_part(attempt, std::move(*answer), now)
                      : coordinator.fail_attempt(attempt, failure, now);
    });
}

auto service_lane::on_run_result(attempt_key attempt, transfer_result result) -> void
{
    transfers_.erase(attempt);
    const auto ran = result.status == transfer_status::answered && result.http_status == status_ok;
    const auto failure = ran ? attempt_failure::broken : failure_of(result);
    decide([&](auto& coordinator) {
        const auto now = steady_clock::now();
        return ran ? coordinator.complete_run(attempt, std::move(result.body), now)
                   : coordinator.fail_attempt(attempt, failure, now);
    });
}

auto service_lane::probe_targets(time_point /*now*/) -> void
{
    auto due = std::vector<address>{};
    {
        const auto lock = std::lock_guard{mutex_};
        for (const auto& [where, target] : coordinator_.targets().targets()) {
            if (target->next_share.owners > 0 && !probes_.contains(where)) {
                due.push_back(where);
            }
        }
    }
    for (const auto& where : due) {
        probes_.insert(where);
        worker_->start({where, "/v1/status", {}, probe_timeout, false, false},
                       [this, where](const auto& result) { on_probe_result(where, result); });
    }
}

auto service_lane::on_probe_result(const address& target, const transfer_result& result) -> void
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
