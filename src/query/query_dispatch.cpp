// Member functions of query_coordinator that send, retry, restart and cancel.
#include <knapweedchute/query/query_coordinator.hpp>

#include <algorithm>
#include <utility>

namespace knapweedchute {

using impl::part_state;

namespace {

constexpr auto min_attempt_timeout = milliseconds{250};
constexpr auto attempt_timeout_median_factor = std::int64_t{50};
constexpr auto restart_time_divisor = std::int64_t{4};

/// Whether a retry needs no budget: the target did no work and was not overloaded.
auto retry_is_free(attempt_failure failure) -> bool
{
    return outcome_of(failure) == outcome::not_run && failure != attempt_failure::shed;
}

} // namespace

auto query_coordinator::select_version() -> std::string
{
    const auto use_new = service_.rollout && split_.next_is_new(new_version_share_permil_);
    return use_new ? service_.rollout->to : service_.version;
}

auto query_coordinator::begin_query(query_key key, impl::query_progress progress, time_point now,
                                    action_list& actions) -> void
{
    progress.started = now;
    const auto margin = table_.policy().answer_margin;
    const auto end = std::max(now, progress.request.deadline - margin);
    timers_.push({end, timer_kind::deadline, key, 0});
    auto shards = std::vector<std::uint32_t>{};
    for (auto shard = std::uint32_t{0}; shard < progress.parts.size(); ++shard) {
        if (progress.parts[shard].state == part_state::waiting) {
            shards.push_back(shard);
        }
    }
    queries_.emplace(key, std::move(progress));
    dispatch_parts(key, shards, now, actions);
    finish_query_if_done(key, now, actions);
}

auto query_coordinator::dispatch_parts(query_key key, const std::vector<std::uint32_t>& shards,
                                       time_point now, action_list& actions) -> void
{
    auto forwards = std::map<std::string, std::vector<std::uint32_t>>{};
    const auto map = queries_.at(key).map;
    for (const auto shard : shards) {
        const auto& progress = queries_.at(key);
        if (progress.map != map) {
            return; // The query was restarted on another snapshot, which dispatched all shards.
        }
        const auto& replicas = progress.map->replicas[shard];
        const auto usable_locally =
            table_.has_usable_replica(replicas, progress.parts[shard].tried, now);
        const auto remote_instance = usable_locally || progress.forwarded
                                         ? std::string{}
                                         : table_.remote_owner(replicas, now);
        if (!remote_instance.empty() &&
            progress.parts[shard].attempts < table_.policy().max_attempts) {
            forwards[remote_instance].push_back(shard);
            continue;
        }
        dispatch_part(key, shard, now, actions);
    }
    for (auto& [instance, group] : forwards) {
        forward_to_instance(key, instance, std::move(group), now, actions);
    }
}

auto query_coordinator::dispatch_part(query_key key, std::uint32_t shard, time_point now,
                                      action_list& actions) -> void
{
    if (now <= new_work_allowed_until_ && send_to_replica(key, shard, false, now, actions)) {
        return;
    }
    const auto& progress = queries_.at(key);
    const auto& part = progress.parts[shard];
    if (table_.has_usable_replica(progress.map->replicas[shard], part.tried, now)) {
        enqueue_part(key, shard);
        return;
    }
    abandon_part(key, shard, now, actions);
}

auto query_coordinator::send_to_replica(query_key key, std::uint32_t shard, bool is_hedge,
                                        time_point now, action_list& actions) -> bool
{
    auto& progress = queries_.at(key);
    auto& part = progress.parts[shard];
    const auto target =
        table_.select_replica(progress.map->replicas[shard], part.tried, is_hedge, now);
    if (!target || (is_hedge && !budget_.try_withdraw())) {
        return false;
    }
    const auto attempt = next_attempt_++;
    table_.on_sent(*target);
    counters_->add(counter::parts_sent);
    progress.sent = true;
    part.active_attempts.push_back(attempt);
    part.attempts += 1;
    if (part.attempts == 1) {
        budget_.deposit();
        part.first_sent = now;
        if (const auto delay = hedges_.delay(); delay) {
            timers_.push({now + *delay, timer_kind::hedge, key, shard});
        }
    }
    part.state = part_state::sent;
    const auto shards = static_cast<std::uint32_t>(progress.map->replicas.size());
    const auto attempt_deadline = std::min(progress.request.deadline, now + attempt_timeout());
    actions.emplace_back(send_part{attempt,
                                   target->spec.where,
                                   {progress.map->snapshot, shards, shard},
                                   progress.request.text,
                                   progress.request.top,
                                   attempt_deadline,
                                   target->require_new_connection});
    attempts_.emplace(attempt, impl::attempt_progress{key, {shard}, target, now});
    return true;
}

auto query_coordinator::forward_to_instance(query_key key, const std::string& instance,
                                            std::vector<std::uint32_t> shards, time_point now,
                                            action_list& actions) -> void
{
    auto& progress = queries_.at(key);
    const auto attempt = next_attempt_++;
    progress.sent = true;
    for (const auto shard : shards) {
        auto& part = progress.parts[shard];
        part.state = part_state::sent;
        part.attempts += 1;
        part.active_attempts.push_back(attempt);
    }
    const auto& request = progress.request;
    actions.emplace_back(forward_parts{attempt, instance, shards, request.service, progress.version,
                                       progress.map->snapshot,
                                       static_cast<std::uint32_t>(progress.map->replicas.size()),
                                       request.text, request.top, request.deadline});
    attempts_.emplace(attempt, impl::attempt_progress{key, std::move(shards), nullptr, now});
}

auto query_coordinator::enqueue_part(query_key key, std::uint32_t shard) -> void
{
    auto& progress = queries_.at(key);
    auto& part = progress.parts[shard];
    part.state = part_state::waiting;
    if (part.queued) {
        return;
    }
    part.queued = true;
    const auto shards = static_cast<std::uint32_t>(progress.map->replicas.size());
    waiting_[{progress.map->snapshot, shards, shard}].emplace(progress.request.deadline, key);
    ++waiting_count_;
}

auto query_coordinator::dispatch_waiting(const target_state& target, time_point now,
                                         action_list& actions) -> void
{
    if (!target.report || waiting_count_ == 0) {
        return;
    }
    const auto serving = target.report->serving;
    for (const auto& source : serving) {
        if (const auto list = waiting_.find(source); list != waiting_.end()) {
            dispatch_waiting(list->second, source, now, actions);
        }
    }
}

auto query_coordinator::dispatch_waiting(waiting_list& list, const served_shard& source,
                                         time_point now, action_list& actions) -> void
{
    const auto shard = source.shard;
    const auto is_waiting = [&](const impl::query_progress& progress) {
        return progress.map->snapshot == source.snapshot &&
               progress.map->replicas.size() == source.shards &&
               progress.parts[shard].state == part_state::waiting;
    };
    while (!list.empty() && now <= new_work_allowed_until_) {
        const auto first = list.begin();
        const auto key = first->second;
        const auto found = queries_.find(key);
        if (found != queries_.end() && is_waiting(found->second)) {
            const auto& part = found->second.parts[shard];
            const auto& replicas = found->second.map->replicas[shard];
            const auto usable = table_.has_usable_replica(replicas, part.tried, now);
            if (usable && !send_to_replica(key, shard, false, now, actions)) {
                return;
            }
            found->second.parts[shard].queued = false;
            list.erase(first);
            --waiting_count_;
            if (!usable) {
                dispatch_parts(key, {shard}, now, actions);
                finish_query_if_done(key, now, actions);
            }
            continue;
        }
        list.erase(first);
        --waiting_count_;
    }
}

auto query_coordinator::accept_part(query_key key, std::uint32_t shard, std::vector<hit> hits)
    -> void
{
    auto& progress = queries_.at(key);
    auto& part = progress.parts[shard];
    if (part.state == part_state::answered) {
        return;
    }
    part.state = part_state::answered;
    progress.answered += 1;
    std::move(hits.begin(), hits.end(), std::back_inserter(progress.hits));
}

auto query_coordinator::retry_part(query_key key, std::uint32_t shard, attempt_failure failure,
                                   time_point now, action_list& actions) -> void
{
    auto& part = queries_.at(key).parts[shard];
    part.lost_snapshot = part.lost_snapshot || failure == attempt_failure::snapshot_gone;
    const auto resolved = part.state != part_state::sent || !part.active_attempts.empty();
    if (resolved) {
        return;
    }
    part.state = part_state::waiting;
    const auto may_retry = part.attempts < table_.policy().max_attempts &&
                           (retry_is_free(failure) || budget_.try_withdraw());
    if (!may_retry) {
        abandon_part(key, shard, now, actions);
        return;
    }
    counters_->add(counter::parts_retried);
    dispatch_parts(key, {shard}, now, actions);
}

auto query_coordinator::exclude_target(impl::part_progress& part,
                                       const std::vector<std::shared_ptr<target_state>>& replicas,
                                       target_state& target, attempt_failure failure,
                                       time_point now) const -> void
{
    part.tried.push_back(&target);
    // The connection may be at fault instead of the target, so a sole replica is retried.
    const auto sole_replica = !table_.has_usable_replica(replicas, part.tried, now);
    if (failure == attempt_failure::silent && sole_replica) {
        part.tried.pop_back();
    }
}

auto query_coordinator::abandon_part(query_key key, std::uint32_t shard, time_point now,
                                     action_list& actions) -> void
{
    auto& progress = queries_.at(key);
    auto& part = progress.parts[shard];
    if (part.lost_snapshot && restart_query(key, now, actions)) {
        return;
    }
    part.state = part_state::missing;
    progress.missing += 1;
}

auto query_coordinator::restart_query(query_key key, time_point now, action_list& actions) -> bool
{
    auto& progress = queries_.at(key);
    const auto total_time = progress.request.deadline - progress.started;
    const auto enough_time = progress.request.deadline - now > total_time / restart_time_divisor;
    auto map = table_.best_snapshot(progress.version);
    const auto newer = map && map->snapshot > progress.map->snapshot;
    if (progress.restarted || progress.forwarded || !enough_time || !newer) {
        return false;
    }
    counters_->add(counter::queries_restarted);
    for (auto& part : progress.parts) {
        cancel_attempts(part, now, actions);
    }
    progress.restarted = true;
    progress.map = std::move(map);
    progress.parts.assign(progress.map->replicas.size(), {});
    progress.requested = static_cast<std::uint32_t>(progress.parts.size());
    progress.answered = 0;
    progress.missing = 0;
    progress.hits.clear();
    auto shards = std::vector<std::uint32_t>(progress.parts.size());
    for (auto shard = std::uint32_t{0}; shard < shards.size(); ++shard) {
        shards[shard] = shard;
    }
    dispatch_parts(key, shards, now, actions);
    return true;
}

auto query_coordinator::cancel_attempts(impl::part_progress& part, time_point now,
                                        action_list& actions) -> void
{
    const auto active = std::exchange(part.active_attempts, {});
    for (const auto attempt : active) {
        const auto found = attempts_.find(attempt);
        if (found == attempts_.end()) {
            continue;
        }
        if (found->second.target) {
            table_.on_cancelled(*found->second.target, now - found->second.started, now);
        }
        counters_->add(counter::parts_cancelled);
        attempts_.erase(found);
        actions.emplace_back(cancel_attempt{attempt});
    }
}

auto query_coordinator::release_attempt(attempt_key attempt)
    -> std::optional<impl::attempt_progress>
{
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        return std::nullopt;
    }
    auto done = std::move(found->second);
    attempts_.erase(found);
    auto& progress = queries_.at(done.query);
    for (const auto shard : done.shards) {
        std::erase(progress.parts[shard].active_attempts, attempt);
    }
    return done;
}

auto query_coordinator::hedge_part(query_key key, std::uint32_t shard, time_point now,
                                   action_list& actions) -> void
{
    auto& progress = queries_.at(key);
    if (shard >= progress.parts.size()) {
        return;
    }
    auto& part = progress.parts[shard];
    if (part.state != part_state::sent || part.hedged || part.active_attempts.size() != 1) {
        return;
    }
    hedges_.on_delay_reached(true);
    const auto active = attempts_.find(part.active_attempts.front());
    // Free slots go to waiting parts before hedges.
    if (waiting_count_ > 0 || hedges_.slowness_general() || !active->second.target) {
        return;
    }
    part.hedged = true;
    part.tried.push_back(active->second.target.get());
    if (send_to_replica(key, shard, true, now, actions)) {
        counters_->add(counter::parts_hedged);
    }
}

auto query_coordinator::attempt_timeout() const -> duration
{
    const auto median = hedges_.latencies().median();
    return std::max<duration>(min_attempt_timeout, median * attempt_timeout_median_factor);
}

} // namespace knapweedchute
