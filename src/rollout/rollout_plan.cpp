#include <knapweedchute/rollout/rollout_analysis.hpp>
#include <knapweedchute/rollout/rollout_plan.hpp>

#include <algorithm>

namespace knapweedchute {
namespace {

constexpr auto queries_per_step = std::uint64_t{50};
constexpr auto queries_at_last_step = std::uint64_t{1'000};
constexpr auto full_share_permil = std::int64_t{1'000};
/// Fewer queries of the new version are too little evidence to finish at the deadline, also for a
/// rollout whose only step is the last one.
constexpr auto min_queries = std::uint64_t{20};

} // namespace

auto decide_rollout(const rollout_spec& spec, const rollout_state& state) -> rollout_decision
{
    if (state.recorded_result != rollout_result::running) {
        return {state.recorded_result == rollout_result::finished ? full_share_permil : 0,
                rollout_result::running, rollout_fault::none};
    }
    const auto fault = state.detected_fault != rollout_fault::none
                           ? state.detected_fault
                           : detect_fault(state.old_version, state.new_version);
    if (fault != rollout_fault::none) {
        return {0, rollout_result::rolled_back, fault};
    }
    const auto last_step = spec.steps_permil.size() - 1;
    const auto step =
        std::min<std::size_t>(state.new_version.queries / queries_per_step, last_step);
    const auto confirmed =
        state.new_version.queries >= queries_per_step * last_step + queries_at_last_step;
    const auto deadline_reached = state.unix_s >= spec.finish_by_unix_s;
    const auto has_enough_queries = step == last_step && state.new_version.queries >= min_queries;
    if (confirmed || (deadline_reached && has_enough_queries)) {
        return {full_share_permil, rollout_result::finished, rollout_fault::none};
    }
    if (deadline_reached) {
        return {0, rollout_result::rolled_back, rollout_fault::too_little_evidence};
    }
    return {spec.steps_permil[step], rollout_result::running, rollout_fault::none};
}

} // namespace knapweedchute
