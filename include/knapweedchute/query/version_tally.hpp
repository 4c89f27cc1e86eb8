#pragma once

#include <algorithm>
#include <cstdint>

namespace knapweedchute {

/// \brief Counts of finished queries of one version.
///
/// \detail One stall slows down all queries in progress at once, so slow queries are counted at
///         most once per interval: a burst is a single observation for either version.
struct version_tally
{
    std::uint64_t queries = 0;    ///< Queries finished.
    std::uint64_t incomplete = 0; ///< Of these, refused after sending or with missing shards.
    std::uint64_t empty = 0;      ///< Of these, complete but without hits.
    std::uint64_t slow = 0;       ///< Intervals with a query far slower than the baseline median.
    std::uint64_t intervals = 0;  ///< Intervals in which a query finished.

    [[nodiscard]] auto operator==(const version_tally&) const -> bool = default;
};

/// \brief Sum of the counts of two instances.
[[nodiscard]] inline auto operator+(const version_tally& left, const version_tally& right) noexcept
    -> version_tally
{
    return {left.queries + right.queries, left.incomplete + right.incomplete,
            left.empty + right.empty, left.slow + right.slow, left.intervals + right.intervals};
}

/// \brief Latest counts of one instance from two readings in any order.
/// \detail Counts only increase, so the maximum of each count is the latest.
[[nodiscard]] inline auto latest(const version_tally& left, const version_tally& right) noexcept
    -> version_tally
{
    return {std::max(left.queries, right.queries), std::max(left.incomplete, right.incomplete),
            std::max(left.empty, right.empty), std::max(left.slow, right.slow),
            std::max(left.intervals, right.intervals)};
}

} // namespace knapweedchute
