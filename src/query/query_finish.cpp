// Member functions of query_coordinator that finish queries and record their outcome.
#include <knapweedchute/query/query_coordinator.hpp>

#include <algorithm>
#include <utility>

namespace knapweedchute {

using impl::part_state;

namespace {

constexpr auto slow_median_factor = std::int64_t{3};
/// A query that opened one of the first connections to a target does not count as slow. Later
/// connections count, so that a version that keeps closing its connections is detected as slow.
constexpr auto exempt_connections_per_target = std::size_t{8};

} // namespace

auto query_coordinator::finish_query_if_done(query_key key, time_point now, action_list& actions)
    -> void
{
    const auto found = queries_.find(key);
    if (found == queries_.end()) {
        return;
    }
    const auto& progress = found->second;
    if (progress.answered + progress.missing >= progress.requested) {
        finish_query(found, false, now, actions);
    }
}

auto query_coordinator::finish_query(query_map::iterator found, bool at_deadline, time_point now,
                                     action_list& actions) -> void
{
    const auto key = found->first;
    auto& progress = found->second;
    auto answer = query_answer{progress.version,
                               progress.map->snapshot,
                               static_cast<std::uint32_t>(progress.parts.size()),
                               progress.answered,
                               {},
                               {}};
    for (auto shard = std::uint32_t{0}; shard < progress.parts.size(); ++shard) {
        cancel_attempts(progress.parts[shard], now, actions);
        if (progress.parts[shard].state != part_state::answered) {
            answer.missing.push_back(shard);
        }
    }
    const auto permil = std::uint64_t{1'000} * answer.answered / std::max(answer.shards, 1U);
    const auto insufficient =
        answer.answered == 0 ||
        (!progress.forwarded &&
         permil < static_cast<std::uint64_t>(service_.minimum_coverage_permil));
    record_outcome(progress, now);
    if (insufficient && !progress.forwarded) {
        const auto code =
            at_deadline ? error_code::deadline_exceeded : error_code::coverage_too_low;
        const auto execution = answer.answered > 0 ? outcome::ran : outcome::unknown;
        const auto reason = error{code, progress.request.service,
                                  std::to_string(answer.answered) + " of " +
                                      std::to_string(answer.shards) + " shards answered"};
        actions.emplace_back(
            refuse_query{key, {reason, progress.sent ? execution : outcome::not_run}});
        queries_.erase(found);
        return;
    }
    answer.hits = std::move(progress.hits);
    const auto hit_count = std::min<std::size_t>(answer.hits.size(), progress.request.top);
    const auto end = answer.hits.begin() + static_cast<std::ptrdiff_t>(hit_count);
    std::partial_sort(answer.hits.begin(), end, answer.hits.end(), ranks_before);
    answer.hits.resize(hit_count);
    queries_.erase(found);
    actions.emplace_back(answer_query{key, std::move(answer)});
}

auto query_coordinator::record_connection(query_key key, const part_answer& answer,
                                          target_state& target) -> void
{
    if (answer.opened_connection) {
        target.connections_opened += 1;
        auto& opened = queries_.at(key).opened_connection;
        opened = opened || target.connections_opened <= exempt_connections_per_target;
    }
}

auto query_coordinator::record_outcome(const impl::query_progress& progress, time_point now) -> void
{
    if (progress.forwarded || !progress.sent) {
        return;
    }
    const auto complete = progress.answered == progress.requested;
    const auto baseline = hedges_.latencies().baseline_median();
    const auto slow = baseline != duration::zero() && !progress.opened_connection &&
                      now - progress.started > baseline * slow_median_factor;
    counters_by_version_[progress.version].record_request(
        {!complete, complete && progress.hits.empty(), slow}, now);
}

} // namespace knapweedchute
