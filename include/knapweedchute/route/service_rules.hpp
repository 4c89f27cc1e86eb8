#pragma once

#include <cstdint>
#include <string>

namespace knapweedchute {

/// \brief Bounds that hold for every target of a service.
struct service_rules
{
    std::string name;                      ///< Name of the service.
    std::int64_t connections = 1;          ///< Connections a target accepts from all instances.
    double cold_requests_per_second = 0.0; ///< Requests a cold target bears; 0: no bound is set.

    [[nodiscard]] auto operator==(const service_rules&) const -> bool = default;
};

} // namespace knapweedchute
