#pragma once

#include <knapweedchute/config/availability_zone_spec.hpp>
#include <knapweedchute/config/service_spec.hpp>

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedchute {

/// \brief The complete declaration by the operators, applied as one change.
struct operators_file
{
    std::vector<availability_zone_spec> availability_zones; ///< Availability zones.
    std::vector<service_spec> services;                     ///< Services.

    [[nodiscard]] auto operator==(const operators_file&) const -> bool = default;

    /// \brief Returns the service with this name, or null.
    [[nodiscard]] auto find_service(std::string_view name) const noexcept -> const service_spec*;

    /// \brief Returns the names of the excluded availability zones.
    [[nodiscard]] auto excluded_zones() const -> std::set<std::string>;
};

} // namespace knapweedchute
