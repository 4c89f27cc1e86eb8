#pragma once

#include <knapweedchute/core/address.hpp>

#include <compare>
#include <string>

namespace knapweedchute {

/// \brief One target as the operators declare it.
struct target_spec
{
    address where;                 ///< Address of the target.
    std::string availability_zone; ///< Availability zone that it runs in.

    [[nodiscard]] auto operator<=>(const target_spec&) const = default;
};

} // namespace knapweedchute
