#pragma once

#include "target_model.hpp"

#include <cstdint>
#include <string_view>

namespace knapweedchute::emulator {

/// \brief Policy of the instances.
enum class fleet_policy : std::uint8_t
{
    admission,    ///< `relay_coordinator` as in the daemon.
    no_admission, ///< `relay_coordinator` without limits of concurrency.
    plain         ///< A random replica, no second try, a fixed time to return.
};

/// \brief Returns the name of a policy as used in experiments.
[[nodiscard]] auto to_string(fleet_policy policy) noexcept -> std::string_view;

/// \brief Size of an emulated fleet.
struct fleet_options
{
    std::size_t instances = 9;         ///< Instances that callers use.
    std::size_t zones = 3;             ///< Availability zones of instances and targets.
    std::size_t shards = 20;           ///< Services that a query goes to.
    std::size_t replicas = 2;          ///< Targets of each service.
    std::size_t connections = 26;      ///< Connections that a target accepts from all instances.
    duration one_way{milliseconds{1}}; ///< Network delay between instances and targets.
    target_model target;               ///< Model of each target.
    fleet_policy policy = fleet_policy::admission; ///< Policy of the instances.
};

} // namespace knapweedchute::emulator
