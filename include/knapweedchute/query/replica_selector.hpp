#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/query/target_state.hpp>

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief Strategy for selecting one of several usable replicas.
class replica_selector
{
public:
    replica_selector() = default;
    replica_selector(const replica_selector&) = delete;
    auto operator=(const replica_selector&) -> replica_selector& = delete;
    virtual ~replica_selector() = default;

    /// \brief Selects a replica.
    /// \param candidates Usable replicas; must not be empty.
    [[nodiscard]] virtual auto select(const std::vector<target_state*>& candidates, time_point now,
                                      std::mt19937_64& random) const -> target_state* = 0;
};

/// \brief Selects the replica with the lowest expected latency.
///
/// \detail The cost of a replica is its smoothed latency times the used share of its allowance,
///         plus a penalty if it is in another availability zone. All inputs are observations of
///         this instance; health and load endpoints of targets are not queried.
class least_cost_selector final : public replica_selector
{
public:
    /// \param own_zone     Availability zone of this instance.
    /// \param zone_penalty Added cost of a replica in another zone.
    least_cost_selector(std::string own_zone, duration zone_penalty);

    [[nodiscard]] auto select(const std::vector<target_state*>& candidates, time_point now,
                              std::mt19937_64& random) const -> target_state* override;

private:
    std::string own_zone_;
    duration zone_penalty_;
};

/// \brief Selects a replica at random; baseline for benchmarks.
class random_selector final : public replica_selector
{
public:
    [[nodiscard]] auto select(const std::vector<target_state*>& candidates, time_point now,
                              std::mt19937_64& random) const -> target_state* override;
};

} // namespace knapweedchute
