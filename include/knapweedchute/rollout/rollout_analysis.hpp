#pragma once

#include <knapweedchute/query/version_tally.hpp>
#include <knapweedchute/rollout/rollout_result.hpp>

namespace knapweedchute {

/// \brief Compares the failures of the two versions, counted over the same period.
///
/// \detail Tests each kind of failure separately: the difference of the two failure shares is
///         divided by its standard error, so that a failure that affects both versions alike is
///         no fault of the new one. To count as a fault, the share must also exceed twice the old
///         share, with at least five failures.
/// \returns First kind of failure that is significantly worse, or `none`.
[[nodiscard]] auto detect_fault(const version_tally& old_version,
                                const version_tally& new_version) noexcept -> rollout_fault;

} // namespace knapweedchute
