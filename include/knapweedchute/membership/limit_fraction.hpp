#pragma once

#include <cstddef>

namespace knapweedchute {

/// \brief Fraction of a shared limit that all instances named to callers have together.
inline constexpr auto preferred_fraction = 0.75;

/// \brief Returns the fraction of a shared limit that one instance may use.
/// \detail Instances that are named to callers divide most of the limit; all others divide the rest
///         for the few callers that still use them. If all instances are named or none is, the
///         limit is divided equally.
/// \param preferred    Number of instances named to callers.
/// \param total        Number of all instances, at least 1.
/// \param is_preferred Whether this instance is named to callers.
/// \returns Fraction between 0 and 1.
[[nodiscard]] constexpr auto limit_fraction(std::size_t preferred, std::size_t total,
                                            bool is_preferred) noexcept -> double
{
    if (preferred == 0 || preferred >= total) {
        return 1.0 / static_cast<double>(total);
    }
    return is_preferred ? preferred_fraction / static_cast<double>(preferred)
                        : (1.0 - preferred_fraction) / static_cast<double>(total - preferred);
}

} // namespace knapweedchute
