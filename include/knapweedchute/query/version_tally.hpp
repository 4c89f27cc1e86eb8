#pragma once

#include <algorithm>
#include <cstdint>

namespace knapweedchute {

/// \brief Counts of finished queries of one version.
/// \detail Slow queries come in bursts: one stall makes everything in progress slow. They are
/// counted
///         by interval, at most once in each, so that a burst is one observation for either
///         version.
struct version_tally
{
    std::uint64_t queries = 0;    ///< Queries finished.
    std::uint64_t incomplete = 0; ///< Of these, refused after sending or with shards missing.
    std::uint64_t empty = 0;      ///< Of these, complete without a hit.
    std::uint64_t slow = 0;       ///< Intervals with a query much slower than the usual median.
    std::uint64_t intervals = 0;  ///< Intervals in which a query finished.

    [[nodiscard]] auto operator==(const version_tally&) const -> bool = default;
};

/// \brief Counts of two instances taken together.
[[nodiscard]] inline auto operator+(const version_tally& left, const version_tally& right) noexcept
    -> version_tally
{
    return {left.queries + right.queries, left.incomplete + right.incomplete,
            left.empty + right.empty, left.slow + right.slow, left.intervals + right.intervals};
}

/// \brief The later of two states of one instance's counts, which only rise.
[[nodiscard]] inline auto later(const version_tally& left, const version_tally& right) noexcept
    -> version_tally
{
    return {std::max(left.queries, right.queries), std::max(left.incomplete, right.incomplete),
            std::max(left.empty, right.empty), std::max(left.slow, right.slow),
            std::max(left.intervals, right.intervals)};
}

} // namespace knapweedchute
