#pragma once

#include <cstdint>
#include <string>

namespace knapweedchute {

/// \brief Limits that apply to every target of a service.
struct service_rules
{
    std::string name;             ///< Name of the service.
    std::int64_t connections = 1; ///< Connections that a target accepts from all instances.
    double cold_requests_per_second = 0.0; ///< Limit of a cold target; 0: no limit.

    [[nodiscard]] auto operator==(const service_rules&) const -> bool = default;
};

} // namespace knapweedchute
