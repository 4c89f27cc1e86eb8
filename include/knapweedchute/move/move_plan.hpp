#pragma once

#include <knapweedchute/config/move_spec.hpp>
#include <knapweedchute/move/move_result.hpp>
#include <knapweedchute/query/version_tally.hpp>

#include <cstdint>

namespace knapweedchute {

/// \brief What to do about a move now.
struct move_decision
{
    std::int64_t share_permil = 0;             ///< Queries for the new version, in thousandths.
    move_result wanted = move_result::running; ///< End that should be recorded, if any.
    move_fault fault = move_fault::none;       ///< Why it is taken back.

    [[nodiscard]] auto operator==(const move_decision&) const -> bool = default;
};

/// \brief Everything known of a move.
struct move_view
{
    version_tally old_version;                   ///< Pooled counts of the old version.
    version_tally new_version;                   ///< Pooled counts of the new version.
    move_fault latched = move_fault::none;       ///< Fault that was found, by anyone.
    move_result recorded = move_result::running; ///< End that is stored.
    std::int64_t unix_s = 0;                     ///< Time on the Unix clock.

    [[nodiscard]] auto operator==(const move_view&) const -> bool = default;
};

/// \brief Decides share and end of a move from its evidence.
///
/// \detail A step is left when the new version has answered enough queries, not when time has
///         passed. The move ends well after a longer proof at the last step. At the set time it
///         ends in any case: well if the last step was reached without a fault, else it is taken
///         back for too little evidence. A stored end is obeyed; before one is stored a latched
///         fault stops all traffic.
[[nodiscard]] auto decide_move(const move_spec& spec, const move_view& view) -> move_decision;

} // namespace knapweedchute
