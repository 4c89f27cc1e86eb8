#pragma once

#include <cstdint>

namespace knapweedchute {

/// \brief Assigns an exact share of queries to the new version.
///
/// \detail Accumulates the share from query to query, so it is also exact over few queries.
class version_split
{
public:
    /// \brief Assigns the next query and returns whether it goes to the new version.
    /// \param share_permil Share of the new version in thousandths.
    [[nodiscard]] auto next_is_new(std::int64_t share_permil) noexcept -> bool;

private:
    std::int64_t accumulated_permil_ = 0;
};

} // namespace knapweedchute
