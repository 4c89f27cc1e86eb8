#pragma once

#include <algorithm>
#include <cstdint>

namespace knapweedchute {

/// \brief Counts of finished queries of one version.
struct version_tally
{
    std::uint64_t queries = 0;    ///< Queries finished.
    std::uint64_t incomplete = 0; ///< Of these, refused after sending or with shards missing.
    std::uint64_t empty = 0;      ///< Of these, complete without a hit.
    std::uint64_t slow = 0;       ///< Of these, much slower than the service's usual median.

    [[nodiscard]] auto operator==(const version_tally&) const -> bool = default;
};

/// \brief Counts of two instances taken together.
[[nodiscard]] inline auto operator+(const version_tally& left, const version_tally& right) noexcept
    -> version_tally
{
    return {left.queries + right.queries, left.incomplete + right.incomplete,
            left.empty + right.empty, left.slow + right.slow};
}

/// \brief The later of two states of one instance's counts, which only rise.
[[nodiscard]] inline auto later(const version_tally& left, const version_tally& right) noexcept
    -> version_tally
{
    return {std::max(left.queries, right.queries), std::max(left.incomplete, right.incomplete),
            std::max(left.empty, right.empty), std::max(left.slow, right.slow)};
}

} // namespace knapweedchute
