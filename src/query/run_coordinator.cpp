#include <knapweedchute/query/run_coordinator.hpp>

#include <xxhash.h>

#include <utility>

namespace knapweedchute {

run_coordinator::run_coordinator(target_table& table, request_policy policy, counter_set& counters)
    : table_{&table}, policy_{policy}, counters_{&counters}
{
}

auto run_coordinator::start_run(query_key query, run_request request, const std::string& version,
                                attempt_key attempt, time_point now, action_list& actions) -> void
{
    auto map = table_->best_snapshot(version);
    if (!map) {
        const auto reason =
            error{error_code::no_snapshot, request.service, "no target serves this service"};
        actions.emplace_back(refuse_query{query, {reason, outcome::not_run}});
        return;
    }
    const auto hash = XXH3_64bits(request.key.data(), request.key.size());
    const auto shard = static_cast<std::uint32_t>(hash % map->replicas.size());
    send_to_replica({query, std::move(request), std::move(map), shard, nullptr, {}, now}, attempt,
                    error_code::overloaded, now, actions);
}

auto run_coordinator::complete_attempt(attempt_key attempt, std::string body, time_point now,
                                       action_list& actions) -> bool
{
    const auto found = runs_.find(attempt);
    if (found == runs_.end()) {
        return false;
    }
    auto& progress = found->second;
    table_->on_cancelled(*progress.target, duration::zero(), now);
    actions.emplace_back(answer_run{progress.query, std::move(body)});
    runs_.erase(found);
    return true;
}

auto run_coordinator::fail_attempt(attempt_key attempt, attempt_failure failure,
                                   attempt_key next_attempt, time_point now, action_list& actions)
    -> bool
{
    const auto found = runs_.find(attempt);
    if (found == runs_.end()) {
        return false;
    }
    auto progress = std::move(found->second);
    runs_.erase(found);
    table_->on_failure(*progress.target, failure, now - progress.sent, now);
    progress.tried.push_back(progress.target.get());
    const auto may_retry = outcome_of(failure) == outcome::not_run &&
                           progress.tried.size() < policy_.max_attempts &&
                           now < progress.request.deadline;
    if (may_retry) {
        send_to_replica(std::move(progress), next_attempt, error_code::target_failed, now, actions);
        return true;
    }
    const auto reason = error{error_code::target_failed, progress.request.service,
                              std::string{"the target failed: "} + std::string{to_string(failure)}};
    actions.emplace_back(refuse_query{progress.query, {reason, outcome_of(failure)}});
    return true;
}

auto run_coordinator::send_to_replica(run_progress progress, attempt_key attempt,
                                      error_code failure, time_point now, action_list& actions)
    -> void
{
    progress.target =
        table_->select_replica(progress.map->replicas[progress.shard], progress.tried, false, now);
    if (!progress.target) {
        const auto reason = error{failure, progress.request.service, "no replica has a free place"};
        actions.emplace_back(refuse_query{progress.query, {reason, outcome::not_run}});
        return;
    }
    progress.sent = now;
    table_->on_sent(*progress.target);
    counters_->add(counter::runs_sent);
    const auto& request = progress.request;
    actions.emplace_back(send_run{attempt, progress.target->spec.where, request.id, request.key,
                                  progress.shard, request.document, request.deadline});
    runs_.emplace(attempt, std::move(progress));
}

} // namespace knapweedchute
