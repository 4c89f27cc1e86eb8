#pragma once

#include <knapweedchute/query/version_counter.hpp>

#include <map>
#include <string>

namespace knapweedchute {

/// \brief Counts of the old and the new version of one service.
struct version_tallies
{
    version_tally old_version; ///< All versions except the new one.
    version_tally new_version; ///< The version that is rolled out.

    [[nodiscard]] auto operator==(const version_tallies&) const -> bool = default;
};

/// \brief Counts request outcomes by version for services with a rollout.
class version_monitor
{
public:
    /// \brief Starts counting for a service; discards its previous counts.
    auto start_counting(const std::string& service, const std::string& new_version) -> void;

    /// \brief Stops counting for a service and discards its counts.
    auto stop_counting(const std::string& service) -> void { services_.erase(service); }

    /// \brief Counts a request finished by a target of `version`; has no effect for a service
    ///        without a rollout.
    auto add_observation(const std::string& service, const std::string& version,
                         const version_observation& observation, time_point now) -> void;

    /// \brief Counts so far; zeros for a service without a rollout.
    [[nodiscard]] auto tallies(const std::string& service) const -> version_tallies;

private:
    struct service_counters
    {
        std::string new_version;
        version_counter old_counter;
        version_counter new_counter;
    };

    std::map<std::string, service_counters> services_;
};

} // namespace knapweedchute
