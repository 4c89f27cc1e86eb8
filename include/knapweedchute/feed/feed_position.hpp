#pragma once

#include <compare>
#include <cstdint>

namespace knapweedchute {

/// \brief Position in the changes of the store.
///
/// \detail A store that comes back from an older copy gives revisions out again. A revision thus
///         names a state only together with the history that it belongs to.
struct feed_position
{
    std::uint64_t era = 0;      ///< History; rises when the store comes back. 0: none was stated.
    std::uint64_t revision = 0; ///< Revision within that history.

    [[nodiscard]] auto operator<=>(const feed_position&) const = default;
};

} // namespace knapweedchute
