#pragma once

#include <knapweedchute/config/service_spec.hpp>
#include <knapweedchute/membership/ownership.hpp>

#include <set>
#include <string>

namespace knapweedchute {

/// \brief Configuration of one service and state of the instances, as input of a coordinator.
struct service_view
{
    service_spec service;                    ///< Declaration of the service.
    std::set<std::string> excluded_zones;    ///< Excluded availability zones.
    std::string instance;                    ///< Name of this instance.
    std::set<std::string> serving_instances; ///< Instances that are serving.
    ownership target_owners;                 ///< Assignment of targets to instances.
};

} // namespace knapweedchute
