#pragma once

#include <compare>
#include <string>

namespace knapweedchute {

/// \brief An availability zone and whether the operators have excluded it.
struct availability_zone_spec
{
    std::string name;      ///< Name of the availability zone.
    bool excluded = false; ///< Whether it gets no new requests.

    [[nodiscard]] auto operator<=>(const availability_zone_spec&) const = default;
};

} // namespace knapweedchute
