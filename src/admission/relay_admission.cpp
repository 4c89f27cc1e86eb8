#include <knapweedchute/admission/relay_admission.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace knapweedchute {
namespace {

/// Divisor of the latency goal that gives the longest wait. The rest is for the targets.
constexpr auto max_wait_divisor = 4;
/// Weight of a new duration in the moving average.
constexpr auto time_weight_divisor = 8;
/// Requests in progress per slot at which no slot stays idle while answers are on their way.
constexpr auto requests_per_slot = 2.0;
/// Time for which a group counts as overloaded after its limit fell.
constexpr auto overload_hold = milliseconds{1'000};
/// Typical latencies are never taken to be shorter.
constexpr auto min_typical = milliseconds{1};

/// Requests of one kind have one priority: those of a workspace with a priority of its own are a
/// kind besides the route's.
auto kind_of(const admission_request& request) -> std::string
{
    const auto& matched = *request.matched_route;
    const auto own = !request.workspace.empty() && request.priority != matched.priority;
    return own ? matched.name + "\n" + std::to_string(request.priority) : matched.name;
}

} // namespace

auto relay_admission::on_arrival(const admission_request& request, time_point now)
    -> admission_verdict
{
    auto& group = groups_[request.group];
    const auto kind = kind_of(request);
    group.used_at = now;
    group.limit.set_min(std::ceil(request.slots * requests_per_slot));
    group.queue.on_arrival(kind, request.priority, now, request.workspace);
    auto verdict = admission_verdict{};
    verdict.limit = group.limit.value();
    verdict.in_progress = group.in_progress;
    verdict.waiting = group.queue.size();
    if (group.queue.size() == 0 && has_capacity(group)) {
        group.queue.on_admitted(kind, now, request.workspace);
        group.in_progress += 1;
        return verdict;
    }
    verdict.expected_wait = expected_wait(group, request);
    verdict.max_wait = max_wait(request, now);
    if (verdict.expected_wait > verdict.max_wait) {
        verdict.decision = admission_decision::reject;
        return verdict;
    }
    verdict.decision = admission_decision::wait;
    const auto entry = waiting_request{request.id, kind, request.priority, now + verdict.max_wait,
                                       request.workspace};
    group.queue.push(entry);
    waiting_.emplace(request.id, entry);
    return verdict;
}

auto relay_admission::on_end(const admission_request& request, request_end end, duration elapsed,
                             time_point now) -> void
{
    auto& group = groups_[request.group];
    group.limit.on_end(end, group.in_progress, request.typical, now);
    group.in_progress -= std::min<std::size_t>(group.in_progress, 1);
    group.mean_time = group.mean_time == duration{0}
                          ? elapsed
                          : group.mean_time + (elapsed - group.mean_time) / time_weight_divisor;
    group.used_at = now;
}

auto relay_admission::withdraw(const admission_request& request) -> void
{
    const auto node = waiting_.extract(request.id);
    if (!node.empty()) {
        groups_[request.group].queue.remove(node.mapped());
    }
}

auto relay_admission::admit_waiting(const std::string& group_name, time_point now)
    -> std::optional<std::uint64_t>
{
    auto& group = groups_[group_name];
    if (group.queue.size() == 0 || !has_capacity(group)) {
        return std::nullopt;
    }
    const auto next = group.queue.pop(now);
    waiting_.erase(next->id);
    group.in_progress += 1;
    return next->id;
}

auto relay_admission::retry_after(const admission_request& request, time_point now) -> duration
{
    const auto group = groups_.find(request.group);
    const auto rate = group == groups_.end() ? 0.0 : end_rate(group->second, request.typical);
    return returns_.next(rate, request.deadline - now, request.priority, now);
}

auto relay_admission::is_overloaded(const std::string& group, time_point now) const -> bool
{
    const auto found = groups_.find(group);
    return found != groups_.end() && found->second.limit.fell_within(overload_hold, now);
}

auto relay_admission::remove_unused(time_point oldest) -> void
{
    std::erase_if(groups_, [&](const auto& item) {
        const auto& group = item.second;
        return group.in_progress == 0 && group.queue.size() == 0 && group.used_at < oldest;
    });
}

auto relay_admission::has_capacity(const group_state& group) -> bool
{
    // A limit of 2.5 allows a third request in every second case.
    auto unit = std::uniform_real_distribution<double>{0.0, 1.0};
    return static_cast<double>(group.in_progress) + unit(random_) < group.limit.value();
}

auto relay_admission::max_wait(const admission_request& request, time_point now) -> duration
{
    const auto goal = duration{request.matched_route->latency_goal} / max_wait_divisor;
    return std::min(goal, request.deadline - now - request.typical);
}

auto relay_admission::expected_wait(const group_state& group, const admission_request& request)
    -> duration
{
    const auto kind = kind_of(request);
    const auto& workspace = request.workspace;
    const auto ahead = static_cast<double>(group.queue.size_of(kind, workspace) + 1);
    const auto rate = end_rate(group, request.typical) * group.queue.arrival_share(kind) *
                      group.queue.admission_share(kind, workspace);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(ahead / rate));
}

auto relay_admission::end_rate(const group_state& group, duration typical) -> double
{
    // Little's law: requests that end per second = requests in progress / time of one.
    const auto time =
        std::max<duration>(group.mean_time == duration{0} ? typical : group.mean_time, min_typical);
    const auto in_progress = std::max(static_cast<double>(group.in_progress), 1.0);
    return in_progress / std::chrono::duration<double>(time).count();
}

} // namespace knapweedchute
