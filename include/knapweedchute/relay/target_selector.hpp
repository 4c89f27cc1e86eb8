#pragma once

#include <knapweedchute/query/version_split.hpp>
#include <knapweedchute/relay/cold_limiter.hpp>
#include <knapweedchute/relay/exchange_port.hpp>
#include <knapweedchute/relay/relay_policy.hpp>
#include <knapweedchute/relay/replica_load.hpp>
#include <knapweedchute/relay/target_backoff.hpp>
#include <knapweedchute/target/target_registry.hpp>
#include <knapweedchute/zoning/zone_spill.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace knapweedchute {

/// \brief Result of a target selection.
struct selection
{
    std::shared_ptr<const target_record> target; ///< Selected target; null if none can be used.
    double cost = 0.0;                           ///< Expected latency, multiple of typical latency.
    bool at_capacity = false;                    ///< Usable targets exist, none has capacity.
    std::optional<time_point> pause_end; ///< Earliest end of a pause that a target asked for.
};

/// \brief Selects the target of a service with the lowest expected latency.
/// \detail Uses only requests that this instance has observed, to avoid targets that are pausing,
///         slow or failing. Health checks are not used, because a target that fails requests may
///         still report itself as healthy.
class target_selector
{
public:
    /// \param own_zone Availability zone of this instance.
    /// \param cold     Rate limit of requests to cold targets.
    /// \param seed     Seed of the random variation of costs.
    target_selector(relay_policy policy, std::string own_zone, const target_registry& registry,
                    const exchange_port& port, const cold_limiter& cold, std::uint64_t seed);

    /// \brief Selects the target for the next send of a request.
    /// \detail While a version is on trial, its targets get their share of first sends; retries
    ///         and hedges go to targets of other versions.
    /// \param tried      Ids of targets to which the request was already sent.
    /// \param preference Which availability zone comes first; if it has no target, all count.
    [[nodiscard]] auto select_target(const std::string& service,
                                     const std::vector<std::string>& tried, time_point now,
                                     const zone_preference& preference = {}) -> selection;

    /// \brief Returns the load of a target; creates it if needed.
    [[nodiscard]] auto load(const std::string& target_id) -> replica_load&;

    /// \brief Pauses that targets have asked for; no request is sent to them meanwhile.
    [[nodiscard]] auto backoff() noexcept -> target_backoff& { return backoff_; }

    /// \brief Removes the loads of targets that have left and the pauses that have ended.
    auto remove_unused(time_point now) -> void;

private:
    /// \brief Versions from which a target is selected.
    enum class version_filter : std::uint8_t
    {
        any,
        only_new,
        only_old
    };

    [[nodiscard]] auto choose_versions(const version_rule* rule, const std::string& service,
                                       bool first_send) -> version_filter;
    [[nodiscard]] auto find_best(const std::string& service, const std::vector<std::string>& tried,
                                 const version_rule* rule, version_filter filter, time_point now,
                                 const zone_preference& preference) -> selection;
    [[nodiscard]] auto is_preferred(const target_record& target, const zone_preference& preference,
                                    time_point now) -> bool;
    [[nodiscard]] auto cost(const target_record& target, time_point now) -> double;

    relay_policy policy_;
    std::string own_zone_;
    const target_registry* registry_;
    const exchange_port* port_;
    const cold_limiter* cold_;
    std::mt19937_64 random_;
    target_backoff backoff_;
    std::unordered_map<std::string, replica_load> loads_;
    std::unordered_map<std::string, version_split> splits_;
};

} // namespace knapweedchute
