#pragma once

#include <knapweedchute/config/availability_zone_spec.hpp>
#include <knapweedchute/config/service_spec.hpp>

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedchute {

/// \brief The whole declaration of the operators, applied as one.
struct operators_file
{
    std::vector<availability_zone_spec> availability_zones; ///< Availability zones.
    std::vector<service_spec> services;                     ///< Services.

    [[nodiscard]] auto operator==(const operators_file&) const -> bool = default;

    /// \brief The service of this name, or null.
    [[nodiscard]] auto find_service(std::string_view name) const noexcept -> const service_spec*;

    /// \brief Names of the availability zones that are taken out.
    [[nodiscard]] auto zones_out() const -> std::set<std::string>;
};

} // namespace knapweedchute
