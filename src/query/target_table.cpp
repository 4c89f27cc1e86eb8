#include <knapweedchute/query/target_table.hpp>

#include <algorithm>
#include <utility>

namespace knapweedchute {
namespace {

constexpr auto latency_smoothing_divisor = std::int64_t{8};
constexpr auto min_suspicious_age = milliseconds{20};
constexpr auto suspicious_latency_factor = std::int64_t{8};
constexpr auto leaving_report_lifetime = seconds{30};
constexpr auto max_ejection_doublings = std::size_t{4};

auto contains(const std::vector<target_state*>& list, const target_state* target) -> bool
{
    return std::find(list.begin(), list.end(), target) != list.end();
}

} // namespace

target_table::target_table(request_policy policy, const replica_selector& selector,
                           counter_set& counters, std::uint64_t seed)
    : policy_{policy}, selector_{&selector}, counters_{&counters}, random_{seed}
{
}

auto target_table::configure(const service_view& view, time_point now) -> void
{
    service_ = view.service;
    instance_ = view.instance;
    serving_instances_ = view.serving_instances;
    for (auto& [where, target] : targets_) {
        target->declared = false;
    }
    const auto limit = service_.connections_per_replica;
    for (const auto& version : service_.versions) {
        for (const auto& spec : version.targets) {
            auto& target = targets_[spec.where];
            if (!target) {
                target = std::make_shared<target_state>(
                    spec, warmup_limiter{service_.cold_requests, limit, service_.warmup});
            }
            target->spec = spec;
            target->declared = true;
            target->zone_excluded = view.excluded_zones.contains(spec.availability_zone);
            target->owners = view.target_owners.owners(spec.where, limit);
            schedule_share(*target, share_among(target->owners, instance_, limit), now);
        }
    }
    std::erase_if(targets_, [](const auto& item) {
        return !item.second->declared && item.second->in_flight == 0;
    });
    snapshots_.clear();
}

auto target_table::on_report(const address& target_address, const target_report& report,
                             time_point now) -> void
{
    const auto found = targets_.find(target_address);
    if (found == targets_.end()) {
        return;
    }
    auto& target = *found->second;
    const auto restarted = !target.report || target.report->incarnation != report.incarnation ||
                           report.uptime < target.report->uptime;
    if (restarted) {
        target.warmup.restart(now, report.uptime);
        target.leaving = false;
        target.ejected_until.reset();
    }
    if (report.leaving) {
        mark_leaving(target, now);
    } else if (now - target.last_reported_leaving >= leaving_report_lifetime) {
        target.leaving = false;
    }
    if (restarted || target.report->serving != report.serving) {
        snapshots_.clear();
    }
    target.report = report;
}

auto target_table::on_sent(target_state& target) -> void
{
    target.in_flight += 1;
}

auto target_table::on_answer(target_state& target, const part_answer& answer, duration latency,
                             time_point now) -> void
{
    target.in_flight -= 1;
    target.consecutive_failures = 0;
    target.ejections = 0;
    target.ejected_until.reset();
    target.require_new_connection = false;
    if (answer.leaving) {
        mark_leaving(target, now);
    }
    const auto known = target.latency != duration::zero();
    target.latency =
        known ? target.latency + (latency - target.latency) / latency_smoothing_divisor : latency;
    if (target.report && target.report->incarnation != answer.incarnation) {
        target.report->incarnation = answer.incarnation;
        target.warmup.restart(now, duration::zero());
    }
}

auto target_table::on_failure(target_state& target, attempt_failure failure, duration age,
                              time_point now) -> void
{
    target.in_flight -= 1;
    const auto unanswered =
        failure == attempt_failure::silent || failure == attempt_failure::timed_out;
    if (unanswered) {
        raise_latency_estimate(target, age);
    }
    if (failure == attempt_failure::shed) {
        target.warmup.on_shed(now);
    }
    if (failure == attempt_failure::leaving) {
        mark_leaving(target, now);
    }
    if (failure == attempt_failure::silent) {
        target.require_new_connection = true;
    }
    if (counts_against_target(failure)) {
        record_failure(target, now);
    }
}

auto target_table::on_cancelled(target_state& target, duration age, time_point now) -> void
{
    target.in_flight -= 1;
    const auto typical_latency = target.latency;
    raise_latency_estimate(target, age);
    if (age < std::max<duration>(min_suspicious_age, typical_latency * suspicious_latency_factor)) {
        return;
    }
    // The first time, the connection may be at fault; the target counts as failed only if a new
    // connection is slow as well.
    if (target.require_new_connection) {
        record_failure(target, now);
    }
    target.require_new_connection = true;
}

auto target_table::best_snapshot(const std::string& version) -> std::shared_ptr<const snapshot_map>
{
    auto best = std::shared_ptr<const snapshot_map>{};
    auto best_share = 0.0;
    for (const auto& candidate : snapshots(version)) {
        const auto share = static_cast<double>(candidate->covered_shards()) /
                           static_cast<double>(candidate->replicas.size());
        const auto newer = best && share == best_share && candidate->snapshot > best->snapshot;
        if (!best || share > best_share || newer) {
            best = candidate;
            best_share = share;
        }
    }
    return best;
}

auto target_table::find_snapshot(const std::string& version, std::uint64_t snapshot,
                                 std::uint32_t shards) -> std::shared_ptr<const snapshot_map>
{
    for (const auto& candidate : snapshots(version)) {
        if (candidate->snapshot == snapshot && candidate->replicas.size() == shards) {
            return candidate;
        }
    }
    return nullptr;
}

auto target_table::select_replica(const std::vector<std::shared_ptr<target_state>>& replicas,
                                  const std::vector<target_state*>& excluded, bool for_hedge,
                                  time_point now) -> std::shared_ptr<target_state>
{
    candidates_.clear();
    auto all_ejected = true;
    const auto add_candidates = [&](bool include_ejected) {
        for (const auto& target : replicas) {
            const auto usable = target->eligible() && !contains(excluded, target.get());
            const auto skip = !include_ejected && ejected(*target, now);
            all_ejected = all_ejected && (!usable || skip);
            const auto limit =
                policy_.limit_cold ? target->allowance(now) : target->next_share.connections;
            const auto cold = for_hedge && target->warmup.warming(now);
            if (usable && !skip && !cold && target->in_flight < limit) {
                candidates_.push_back(target.get());
            }
        }
    };
    add_candidates(false);
    if (candidates_.empty() && all_ejected) {
        add_candidates(true);
    }
    if (candidates_.empty()) {
        return nullptr;
    }
    const auto* selected = selector_->select(candidates_, now, random_);
    const auto found = std::find_if(replicas.begin(), replicas.end(),
                                    [&](const auto& target) { return target.get() == selected; });
    return *found;
}

auto target_table::has_usable_replica(const std::vector<std::shared_ptr<target_state>>& replicas,
                                      const std::vector<target_state*>& excluded,
                                      time_point now) const -> bool
{
    return std::any_of(replicas.begin(), replicas.end(), [&](const auto& target) {
        return target->eligible() && !contains(excluded, target.get()) &&
               target->allowance(now) > 0;
    });
}

auto target_table::remote_owner(const std::vector<std::shared_ptr<target_state>>& replicas,
                                time_point now) -> std::string
{
    auto names = std::vector<std::string>{};
    for (const auto& target : replicas) {
        if (!target->eligible()) {
            continue;
        }
        const auto capacity = target->warmup.capacity(now);
        const auto count = static_cast<std::int64_t>(target->owners.size());
        for (auto position = std::int64_t{0}; position < std::min(count, capacity); ++position) {
            const auto& owner = target->owners[static_cast<std::size_t>(position)];
            if (owner != instance_ && serving_instances_.contains(owner)) {
                names.push_back(owner);
            }
        }
    }
    return names.empty() ? std::string{} : names[random_() % names.size()];
}

auto target_table::ejected(const target_state& target, time_point now) const noexcept -> bool
{
    return policy_.eject && target.ejected_until && now < *target.ejected_until;
}

auto target_table::snapshots(const std::string& version) -> const snapshot_list&
{
    const auto found = snapshots_.find(version);
    if (found != snapshots_.end()) {
        return found->second;
    }
    return snapshots_.emplace(version, build_snapshots(version)).first->second;
}

auto target_table::build_snapshots(const std::string& version) const -> snapshot_list
{
    auto maps = std::map<std::pair<std::uint64_t, std::uint32_t>, std::shared_ptr<snapshot_map>>{};
    const auto* spec = service_.find_version(version);
    if (spec == nullptr) {
        return {};
    }
    for (const auto& declared : spec->targets) {
        const auto found = targets_.find(declared.where);
        if (found == targets_.end() || !found->second->report) {
            continue;
        }
        for (const auto& served : found->second->report->serving) {
            auto& map = maps[{served.snapshot, served.shards}];
            if (!map) {
                map = std::make_shared<snapshot_map>();
                map->snapshot = served.snapshot;
                map->replicas.resize(served.shards);
            }
            map->replicas[served.shard].push_back(found->second);
        }
    }
    auto list = snapshot_list{};
    for (const auto& [key, map] : maps) {
        list.push_back(map);
    }
    return list;
}

auto target_table::schedule_share(target_state& target, const target_share& share,
                                  time_point now) const -> void
{
    if (share == target.next_share) {
        return;
    }
    if (now >= target.next_share_from) {
        target.share = target.next_share;
    }
    target.next_share = share;
    target.next_share_from = now + policy_.share_hold;
}

auto target_table::raise_latency_estimate(target_state& target, duration age) -> void
{
    target.latency += std::max(age - target.latency, duration::zero()) / latency_smoothing_divisor;
}

auto target_table::mark_leaving(target_state& target, time_point now) -> void
{
    target.leaving = true;
    target.last_reported_leaving = now;
}

auto target_table::record_failure(target_state& target, time_point now) -> void
{
    target.consecutive_failures += 1;
    if (target.consecutive_failures >= policy_.failures_to_eject) {
        eject_target(target, now);
    }
}

auto target_table::eject_target(target_state& target, time_point now) -> void
{
    const auto doublings = std::min(target.ejections, max_ejection_doublings);
    target.ejected_until = now + policy_.base_ejection_time * (std::int64_t{1} << doublings);
    target.ejections += 1;
    target.consecutive_failures = 0;
    counters_->add(counter::targets_ejected);
}

} // namespace knapweedchute
