#pragma once

#include <knapweedchute/config/rollout_spec.hpp>
#include <knapweedchute/query/version_tally.hpp>
#include <knapweedchute/rollout/rollout_result.hpp>

#include <cstdint>

namespace knapweedchute {

/// \brief Share of the new version, and the result to record if the rollout has ended.
struct rollout_decision
{
    std::int64_t share_permil = 0; ///< Share of queries for the new version.
    rollout_result result_to_record = rollout_result::running; ///< Final result, or `running`.
    rollout_fault fault = rollout_fault::none;                 ///< Reason for a rollback.

    [[nodiscard]] auto operator==(const rollout_decision&) const -> bool = default;
};

/// \brief Evidence and recorded result of a rollout at a point in time.
struct rollout_state
{
    version_tally old_version; ///< Counts of the old version, all instances.
    version_tally new_version; ///< Counts of the new version, all instances.
    rollout_fault detected_fault = rollout_fault::none;       ///< Fault detected by any instance.
    rollout_result recorded_result = rollout_result::running; ///< Final result in the store.
    std::int64_t unix_s = 0;                                  ///< Unix time, unit of the deadline.

    [[nodiscard]] auto operator==(const rollout_state&) const -> bool = default;
};

/// \brief Decides the share of the new version and the end of a rollout.
///
/// \detail The share advances to the next step once the new version has answered enough queries,
///         not after a period of time. The rollout finishes after a larger number of queries at
///         the last step. It ends at the deadline in any case: it finishes if it has reached the
///         last step with enough queries and without a fault, and is rolled back for too little
///         evidence otherwise. A recorded result takes precedence; until one is recorded, a
///         detected fault stops all traffic to the new version.
[[nodiscard]] auto decide_rollout(const rollout_spec& spec, const rollout_state& state)
    -> rollout_decision;

} // namespace knapweedchute
