#pragma once

#include <knapweedchute/move/move_result.hpp>
#include <knapweedchute/query/version_tally.hpp>

namespace knapweedchute {

/// \brief Compares the new version with the old one, counted at the same time.
///
/// \detail Each kind of failure is compared on its own by the difference of two shares over its
///         standard error, so that a failure that hits both versions is no fault of the new one.
///         A fault must also be gross: at least twice the old share, in at least five queries.
/// \returns The fault, or `none` while there is none.
[[nodiscard]] auto judge(const version_tally& old_version,
                         const version_tally& new_version) noexcept -> move_fault;

} // namespace knapweedchute
