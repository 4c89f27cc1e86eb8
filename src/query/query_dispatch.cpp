// The part of query_coordinator that sends, retries, restarts and cancels.
#include <knapweedchute/query/query_coordinator.hpp>

#include <algorithm>
#include <utility>

namespace knapweedchute {

using impl::part_state;

namespace {

constexpr auto shortest_attempt_limit = milliseconds{250};
constexpr auto medians_in_attempt_limit = std::int64_t{50};
constexpr auto restart_share_of_time = std::int64_t{4};

/// Whether a retry after this failure adds no work that a target has done.
auto retry_is_free(attempt_failure failure) -> bool
{
    return outcome_of(failure) == outcome::not_run && failure != attempt_failure::shed;
}

} // namespace

auto query_coordinator::choose_version() -> std::string
{
    const auto use_new = service_.move && split_.next_is_new(new_version_share_permil_);
    return use_new ? service_.move->to : service_.version;
}

auto query_coordinator::begin(query_key key, impl::query_progress progress, time_point now,
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
    dispatch_all(key, shards, now, actions);
    finish_if_done(key, now, actions);
}

auto query_coordinator::dispatch_all(query_key key, const std::vector<std::uint32_t>& shards,
                                     time_point now, action_list& actions) -> void
{
    auto forwards = std::map<std::string, std::vector<std::uint32_t>>{};
    const auto map = queries_.at(key).map;
    for (const auto shard : shards) {
        const auto& progress = queries_.at(key);
        if (progress.map != map) {
            return; // Restarted on another snapshot, which has dispatched every shard.
        }
        const auto& replicas = progress.map->replicas[shard];
        const auto here = table_.usable_here(replicas, progress.parts[shard].tried, now);
        const auto remote =
            here || progress.forwarded ? std::string{} : table_.remote_owner(replicas, now);
        if (!remote.empty() && progress.parts[shard].attempts < table_.policy().most_attempts) {
            forwards[remote].push_back(shard);
            continue;
        }
        dispatch(key, shard, now, actions);
    }
    for (auto& [instance, group] : forwards) {
        forward(key, instance, std::move(group), now, actions);
    }
}

auto query_coordinator::dispatch(query_key key, std::uint32_t shard, time_point now,
                                 action_list& actions) -> void
{
    if (now <= allowed_until_ && send_to_replica(key, shard, false, now, actions)) {
        return;
    }
    const auto& progress = queries_.at(key);
    const auto& part = progress.parts[shard];
    if (table_.usable_here(progress.map->replicas[shard], part.tried, now)) {
        wait_for_place(key, shard);
        return;
    }
    give_up(key, shard, now, actions);
}

auto query_coordinator::send_to_replica(query_key key, std::uint32_t shard, bool hedge,
                                        time_point now, action_list& actions) -> bool
{
    auto& progress = queries_.at(key);
    auto& part = progress.parts[shard];
    const auto target = table_.pick(progress.map->replicas[shard], part.tried, hedge, now);
    if (!target || (hedge && !budget_.take())) {
        return false;
    }
    const auto attempt = next_attempt_++;
    table_.on_sent(*target);
    counters_->add(counter::parts_sent);
    progress.sent = true;
    part.live.push_back(attempt);
    part.attempts += 1;
    if (part.attempts == 1) {
        budget_.earn();
        part.first_sent = now;
        if (const auto delay = hedges_.delay(); delay) {
            timers_.push({now + *delay, timer_kind::hedge, key, shard});
        }
    }
    part.state = part_state::sent;
    const auto shards = static_cast<std::uint32_t>(progress.map->replicas.size());
    const auto give_up_at = std::min(progress.request.deadline, now + attempt_limit());
    actions.emplace_back(send_part{attempt,
                                   target->spec.where,
                                   {progress.map->snapshot, shards, shard},
                                   progress.request.text,
                                   progress.request.top,
                                   give_up_at,
                                   target->distrust_connections});
    attempts_.emplace(attempt, impl::attempt_progress{key, {shard}, target, now});
    return true;
}

auto query_coordinator::forward(query_key key, const std::string& instance,
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
        part.live.push_back(attempt);
    }
    const auto& request = progress.request;
    actions.emplace_back(forward_parts{attempt, instance, shards, request.service, progress.version,
                                       progress.map->snapshot,
                                       static_cast<std::uint32_t>(progress.map->replicas.size()),
                                       request.text, request.top, request.deadline});
    attempts_.emplace(attempt, impl::attempt_progress{key, std::move(shards), nullptr, now});
}

auto query_coordinator::wait_for_place(query_key key, std::uint32_t shard) -> void
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

auto query_coordinator::serve_waiting(const target_state& target, time_point now,
                                      action_list& actions) -> void
{
    if (!target.report || waiting_count_ == 0) {
        return;
    }
    const auto serving = target.report->serving;
    for (const auto& place : serving) {
        if (const auto list = waiting_.find(place); list != waiting_.end()) {
            serve_waiting(list->second, place, now, actions);
        }
    }
}

auto query_coordinator::serve_waiting(waiting_list& list, const served_shard& place, time_point now,
                                      action_list& actions) -> void
{
    const auto shard = place.shard;
    const auto waits_here = [&](const impl::query_progress& progress) {
        return progress.map->snapshot == place.snapshot &&
               progress.map->replicas.size() == place.shards &&
               progress.parts[shard].state == part_state::waiting;
    };
    while (!list.empty() && now <= allowed_until_) {
        const auto first = list.begin();
        const auto key = first->second;
        const auto found = queries_.find(key);
        if (found != queries_.end() && waits_here(found->second)) {
            const auto& part = found->second.parts[shard];
            const auto& replicas = found->second.map->replicas[shard];
            const auto usable = table_.usable_here(replicas, part.tried, now);
            if (usable && !send_to_replica(key, shard, false, now, actions)) {
                return;
            }
            found->second.parts[shard].queued = false;
            list.erase(first);
            --waiting_count_;
            if (!usable) {
                dispatch_all(key, {shard}, now, actions);
                finish_if_done(key, now, actions);
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

auto query_coordinator::retry(query_key key, std::uint32_t shard, attempt_failure failure,
                              time_point now, action_list& actions) -> void
{
    auto& part = queries_.at(key).parts[shard];
    part.lost_snapshot = part.lost_snapshot || failure == attempt_failure::snapshot_gone;
    const auto settled = part.state != part_state::sent || !part.live.empty();
    if (settled) {
        return;
    }
    part.state = part_state::waiting;
    const auto allowed =
        part.attempts < table_.policy().most_attempts && (retry_is_free(failure) || budget_.take());
    if (!allowed) {
        give_up(key, shard, now, actions);
        return;
    }
    counters_->add(counter::parts_retried);
    dispatch_all(key, {shard}, now, actions);
}

auto query_coordinator::avoid(impl::part_progress& part,
                              const std::vector<std::shared_ptr<target_state>>& replicas,
                              target_state& target, attempt_failure failure, time_point now) const
    -> void
{
    part.tried.push_back(&target);
    // A silent connection says nothing of the target: it may be tried again if it is the only one.
    const auto only_one = !table_.usable_here(replicas, part.tried, now);
    if (failure == attempt_failure::silent && only_one) {
        part.tried.pop_back();
    }
}

auto query_coordinator::give_up(query_key key, std::uint32_t shard, time_point now,
                                action_list& actions) -> void
{
    auto& progress = queries_.at(key);
    auto& part = progress.parts[shard];
    if (part.lost_snapshot && restart(key, now, actions)) {
        return;
    }
    part.state = part_state::missing;
    progress.missing += 1;
}

auto query_coordinator::restart(query_key key, time_point now, action_list& actions) -> bool
{
    auto& progress = queries_.at(key);
    const auto whole = progress.request.deadline - progress.started;
    const auto enough_time = progress.request.deadline - now > whole / restart_share_of_time;
    auto map = table_.best_snapshot(progress.version);
    const auto useful = map && map->snapshot > progress.map->snapshot;
    if (progress.restarted || progress.forwarded || !enough_time || !useful) {
        return false;
    }
    counters_->add(counter::queries_restarted);
    for (auto& part : progress.parts) {
        cancel_live(part, now, actions);
    }
    progress.restarted = true;
    progress.map = std::move(map);
    progress.parts.assign(progress.map->replicas.size(), {});
    progress.wanted = static_cast<std::uint32_t>(progress.parts.size());
    progress.answered = 0;
    progress.missing = 0;
    progress.hits.clear();
    auto shards = std::vector<std::uint32_t>(progress.parts.size());
    for (auto shard = std::uint32_t{0}; shard < shards.size(); ++shard) {
        shards[shard] = shard;
    }
    dispatch_all(key, shards, now, actions);
    return true;
}

auto query_coordinator::cancel_live(impl::part_progress& part, time_point now, action_list& actions)
    -> void
{
    const auto live = std::exchange(part.live, {});
    for (const auto attempt : live) {
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

auto query_coordinator::release(attempt_key attempt) -> std::optional<impl::attempt_progress>
{
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        return std::nullopt;
    }
    auto done = std::move(found->second);
    attempts_.erase(found);
    auto& progress = queries_.at(done.query);
    for (const auto shard : done.shards) {
        std::erase(progress.parts[shard].live, attempt);
    }
    return done;
}

auto query_coordinator::hedge(query_key key, std::uint32_t shard, time_point now,
                              action_list& actions) -> void
{
    auto& progress = queries_.at(key);
    if (shard >= progress.parts.size()) {
        return;
    }
    auto& part = progress.parts[shard];
    if (part.state != part_state::sent || part.hedged || part.live.size() != 1) {
        return;
    }
    hedges_.on_delay_reached(true);
    const auto running = attempts_.find(part.live.front());
    // A free place goes to a part that waits before it goes to a second copy of another.
    if (waiting_count_ > 0 || hedges_.slowness_general() || !running->second.target) {
        return;
    }
    part.hedged = true;
    part.tried.push_back(running->second.target.get());
    if (send_to_replica(key, shard, true, now, actions)) {
        counters_->add(counter::parts_hedged);
    }
}

auto query_coordinator::attempt_limit() const -> duration
{
    const auto median = hedges_.latencies().median();
    return std::max<duration>(shortest_attempt_limit, median * medians_in_attempt_limit);
}

} // namespace knapweedchute
