#include <knapweedchute/query/query_coordinator.hpp>

#include <algorithm>
#include <utility>

namespace knapweedchute {

using impl::part_state;

query_coordinator::query_coordinator(request_policy policy, const replica_selector& selector,
                                     counter_set& counters, std::uint64_t seed)
    : table_{policy, selector, counters, seed}, counters_{&counters}, hedges_{policy.hedge},
      budget_{policy.extra_ratio, policy.extra_burst}, runs_{table_, policy, counters},
      new_work_allowed_until_{time_point::max()}
{
}

auto query_coordinator::configure(const service_view& view, time_point now) -> action_list
{
    const auto same_rollout = service_.rollout == view.service.rollout;
    if (!same_rollout) {
        counters_by_version_.clear();
        new_version_share_permil_ = 0;
    }
    service_ = view.service;
    table_.configure(view, now);
    return tick(now);
}

auto query_coordinator::tallies() const -> std::map<std::string, version_tally>
{
    auto counts = std::map<std::string, version_tally>{};
    for (const auto& [version, counter] : counters_by_version_) {
        counts[version] = counter.tally();
    }
    return counts;
}

auto query_coordinator::allow_new_work_until(time_point until) -> void
{
    new_work_allowed_until_ = until;
}

auto query_coordinator::set_new_version_share(std::int64_t share_permil) -> void
{
    new_version_share_permil_ = share_permil;
}

auto query_coordinator::on_report(const address& target, const target_report& report,
                                  time_point now) -> void
{
    table_.on_report(target, report, now);
}

auto query_coordinator::start_search(query_key query, search_request request, time_point now)
    -> action_list
{
    auto actions = action_list{};
    const auto refuse = [&](error_code code, std::string what) {
        const auto reason = error{code, request.service, std::move(what)};
        actions.emplace_back(refuse_query{query, {reason, outcome::not_run}});
    };
    if (now >= request.deadline) {
        refuse(error_code::deadline_exceeded, "the deadline passed before the start");
        return actions;
    }
    if (now > new_work_allowed_until_) {
        refuse(error_code::not_fresh, "the configuration in force is not proved fresh");
        return actions;
    }
    auto progress = impl::query_progress{};
    progress.version = select_version();
    progress.map = table_.best_snapshot(progress.version);
    if (!progress.map) {
        refuse(error_code::no_snapshot, "no target serves this service");
        return actions;
    }
    progress.request = std::move(request);
    progress.parts.resize(progress.map->replicas.size());
    progress.requested = static_cast<std::uint32_t>(progress.parts.size());
    begin_query(query, std::move(progress), now, actions);
    return actions;
}

auto query_coordinator::start_forwarded(query_key query, const forwarded_request& request,
                                        time_point now) -> action_list
{
    auto actions = action_list{};
    auto progress = impl::query_progress{};
    progress.forwarded = true;
    progress.version = request.version;
    progress.map = table_.find_snapshot(request.version, request.snapshot, request.total_shards);
    const auto searchable =
        progress.map && std::all_of(request.shards.begin(), request.shards.end(),
                                    [&](auto shard) { return shard < request.total_shards; });
    if (!searchable || now > new_work_allowed_until_ || now >= request.deadline) {
        const auto reason =
            error{error_code::no_snapshot, request.service, "these parts can not be searched here"};
        actions.emplace_back(refuse_query{query, {reason, outcome::not_run}});
        return actions;
    }
    progress.request = {{}, request.service, request.text, request.top, 0.0, request.deadline};
    progress.parts.resize(request.total_shards);
    for (auto& part : progress.parts) {
        part.state = part_state::missing;
    }
    for (const auto shard : request.shards) {
        progress.parts[shard].state = part_state::waiting;
    }
    progress.requested = static_cast<std::uint32_t>(request.shards.size());
    begin_query(query, std::move(progress), now, actions);
    return actions;
}

auto query_coordinator::start_run(query_key query, run_request request, time_point now)
    -> action_list
{
    auto actions = action_list{};
    if (now > new_work_allowed_until_ || now >= request.deadline) {
        const auto deadline_passed = now >= request.deadline;
        const auto code = deadline_passed ? error_code::deadline_exceeded : error_code::not_fresh;
        const auto reason = error{code, request.service, "refused before the start"};
        actions.emplace_back(refuse_query{query, {reason, outcome::not_run}});
        return actions;
    }
    runs_.start_run(query, std::move(request), select_version(), next_attempt_++, now, actions);
    return actions;
}

auto query_coordinator::complete_part(attempt_key attempt, part_answer answer, time_point now)
    -> action_list
{
    auto actions = action_list{};
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        return actions;
    }
    const auto key = found->second.query;
    const auto shard = found->second.shards.front();
    const auto& progress = queries_.at(key);
    const auto expected = served_shard{
        progress.map->snapshot, static_cast<std::uint32_t>(progress.map->replicas.size()), shard};
    if (answer.source != expected || answer.attempt != attempt) {
        counters_->add(counter::answers_rejected);
        return fail_attempt(attempt, attempt_failure::broken, now);
    }
    const auto done = release_attempt(attempt);
    const auto latency = now - done->started;
    record_connection(key, answer, *done->target);
    table_.on_answer(*done->target, answer, latency, now);
    const auto delay = hedges_.delay();
    if (delay && latency < *delay) {
        hedges_.on_delay_reached(false);
    }
    hedges_.on_answer(latency);
    cancel_attempts(queries_.at(key).parts[shard], now, actions);
    accept_part(key, shard, std::move(answer.hits));
    finish_query_if_done(key, now, actions);
    dispatch_waiting(*done->target, now, actions);
    return actions;
}

auto query_coordinator::complete_forwarded(attempt_key attempt, query_answer answer, time_point now)
    -> action_list
{
    auto actions = action_list{};
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        return actions;
    }
    const auto& progress = queries_.at(found->second.query);
    const auto matches =
        answer.snapshot == progress.map->snapshot && answer.shards == progress.map->replicas.size();
    if (!matches) {
        counters_->add(counter::answers_rejected);
        return fail_attempt(attempt, attempt_failure::peer_failed, now);
    }
    const auto done = release_attempt(attempt);
    auto hits = std::move(answer.hits);
    auto failed = std::vector<std::uint32_t>{};
    for (const auto shard : done->shards) {
        const auto missing = std::find(answer.missing.begin(), answer.missing.end(), shard);
        if (missing != answer.missing.end()) {
            failed.push_back(shard);
            continue;
        }
        accept_part(done->query, shard, std::move(hits));
        hits.clear();
    }
    const auto map = queries_.at(done->query).map;
    for (const auto shard : failed) {
        if (queries_.at(done->query).map != map) {
            break;
        }
        retry_part(done->query, shard, attempt_failure::peer_failed, now, actions);
    }
    finish_query_if_done(done->query, now, actions);
    return actions;
}

auto query_coordinator::complete_run(attempt_key attempt, std::string body, time_point now)
    -> action_list
{
    auto actions = action_list{};
    runs_.complete_attempt(attempt, std::move(body), now, actions);
    return actions;
}

auto query_coordinator::fail_attempt(attempt_key attempt, attempt_failure failure, time_point now)
    -> action_list
{
    auto actions = action_list{};
    if (runs_.fail_attempt(attempt, failure, next_attempt_, now, actions)) {
        ++next_attempt_;
        return actions;
    }
    const auto done = release_attempt(attempt);
    if (!done) {
        return actions;
    }
    counters_->add(counter::parts_failed);
    if (done->target) {
        table_.on_failure(*done->target, failure, now - done->started, now);
    }
    const auto map = queries_.at(done->query).map;
    for (const auto shard : done->shards) {
        if (queries_.at(done->query).map != map) {
            break; // The query was restarted on another snapshot.
        }
        auto& part = queries_.at(done->query).parts[shard];
        if (done->target) {
            exclude_target(part, queries_.at(done->query).map->replicas[shard], *done->target,
                           failure, now);
        }
        retry_part(done->query, shard, failure, now, actions);
    }
    finish_query_if_done(done->query, now, actions);
    if (done->target) {
        dispatch_waiting(*done->target, now, actions);
    }
    return actions;
}

auto query_coordinator::tick(time_point now) -> action_list
{
    auto actions = action_list{};
    while (!timers_.empty() && timers_.top().when <= now) {
        const auto due = timers_.top();
        timers_.pop();
        const auto found = queries_.find(due.query);
        if (found == queries_.end()) {
            continue;
        }
        if (due.kind == timer_kind::deadline) {
            finish_query(found, true, now, actions);
            continue;
        }
        hedge_part(due.query, due.shard, now, actions);
    }
    auto waiting_sources = std::vector<served_shard>{};
    for (const auto& [source, list] : waiting_) {
        waiting_sources.push_back(source);
    }
    for (const auto& source : waiting_sources) {
        if (const auto list = waiting_.find(source); list != waiting_.end()) {
            dispatch_waiting(list->second, source, now, actions);
        }
    }
    std::erase_if(waiting_, [](const auto& item) { return item.second.empty(); });
    return actions;
}

auto query_coordinator::next_tick() const -> std::optional<time_point>
{
    return timers_.empty() ? std::nullopt : std::optional{timers_.top().when};
}

auto query_coordinator::queries_in_progress() const noexcept -> std::size_t
{
    return queries_.size() + runs_.in_progress();
}

} // namespace knapweedchute
