#pragma once

#include <knapweedchute/query/version_split.hpp>
#include <knapweedchute/relay/cold_limiter.hpp>
#include <knapweedchute/relay/exchange_port.hpp>
#include <knapweedchute/relay/relay_policy.hpp>
#include <knapweedchute/relay/replica_load.hpp>
#include <knapweedchute/target/target_registry.hpp>

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace knapweedchute {

/// \brief A target chosen for a request, with its expected cost.
struct placement
{
    std::shared_ptr<const target_record> target; ///< Null if none can be used.
    double cost = 0.0;                           ///< Multiple of the usual time.
    bool only_full = false;                      ///< Some fit, but none has room now.
};

/// \brief Chooses the target of a service that is expected to answer first.
/// \detail Answers uneven, pausing, slow and failing targets with nothing but what this instance
///         has seen itself. Health answers are not consulted: they lie.
class replica_placing
{
public:
    /// \param own_zone Availability zone of this instance.
    /// \param cold     Limit of requests to cold targets.
    replica_placing(relay_policy policy, std::string own_zone, const target_registry& registry,
                    const exchange_port& port, const cold_limiter& cold, std::uint64_t seed);

    /// \brief The target to use now.
    /// \detail While a version is on trial, its share of first sends goes to its targets, and
    ///         everything that is sent once more goes to others.
    /// \param tried Ids that have had the request already.
    [[nodiscard]] auto choose(const std::string& service, const std::vector<std::string>& tried,
                              time_point now) -> placement;

    /// \brief What is known of a target.
    [[nodiscard]] auto load(const std::string& target_id) -> replica_load&;

    /// \brief Forgets targets that left.
    auto forget_unknown() -> void;

private:
    /// \brief Versions among which a target is chosen.
    enum class version_choice : std::uint8_t
    {
        any,
        only_new,
        only_old
    };

    [[nodiscard]] auto version_for(const version_rule* rule, const std::string& service, bool first)
        -> version_choice;
    [[nodiscard]] auto best_of(const std::string& service, const std::vector<std::string>& tried,
                               const version_rule* rule, version_choice wanted, time_point now)
        -> placement;
    [[nodiscard]] auto cost(const target_record& target, time_point now) -> double;

    relay_policy policy_;
    std::string own_zone_;
    const target_registry* registry_;
    const exchange_port* port_;
    const cold_limiter* cold_;
    std::mt19937_64 random_;
    std::unordered_map<std::string, replica_load> loads_;
    std::unordered_map<std::string, version_split> splits_;
};

} // namespace knapweedchute
