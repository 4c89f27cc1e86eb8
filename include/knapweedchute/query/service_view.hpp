#pragma once

#include <knapweedchute/config/service_spec.hpp>
#include <knapweedchute/membership/ownership.hpp>

#include <set>
#include <string>

namespace knapweedchute {

/// \brief What a coordinator is told of its service and of the other instances.
struct service_view
{
    service_spec service;            ///< As declared.
    std::set<std::string> zones_out; ///< Availability zones that are taken out.
    std::string instance;            ///< Name of this instance.
    std::set<std::string> serving;   ///< Instances that serve now.
    ownership sharing;               ///< Who uses which target.
};

} // namespace knapweedchute
