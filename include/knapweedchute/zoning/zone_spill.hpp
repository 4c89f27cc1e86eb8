#pragma once

#include <knapweedchute/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace knapweedchute {

/// \brief Parameters of the decision on leaving the own availability zone.
/// \detail A load is a latency as a fraction of the route's latency goal. A part that a target
///         rejects for lack of room counts as one that took the whole goal.
struct zone_spill_policy
{
    double byte_price = 0.0;   ///< Latency that a KiB between zones is worth, in ms; 0: off.
    double begin_load = 0.5;   ///< Load of the own zone above which the share is raised.
    double helper_limit = 0.4; ///< Load of another zone from which it gets less.
    double end_load = 0.3;     ///< Load of the own zone below which the share is taken back.
    double step = 0.05;        ///< Change of the share at a time.
    double max_share = 0.8;    ///< Largest share; the rest keeps observing the own zone.
    duration step_interval = seconds{1};      ///< Mean time between changes of a share.
    duration evidence_lifetime = seconds{10}; ///< Time after which an observed load is forgotten.
    std::size_t min_exchanges = 4;            ///< Exchanges that make a new load.

    [[nodiscard]] auto operator==(const zone_spill_policy&) const -> bool = default;
};

/// \brief Where the first send of a part goes.
enum class zone_choice : std::uint8_t
{
    by_cost, ///< To the target of least cost, in whatever zone.
    stay,    ///< To the own availability zone while it has a target that works.
    leave    ///< To another availability zone that can help.
};

/// \brief Choice for one send.
struct zone_preference
{
    zone_choice choice = zone_choice::by_cost;
    std::vector<std::string> closed; ///< Availability zones that must not be burdened further.

    [[nodiscard]] auto operator==(const zone_preference&) const -> bool = default;
};

/// \brief An exchange with a target as evidence of the load of its availability zone.
struct zone_evidence
{
    std::string availability_zone;       ///< Availability zone of the target.
    duration elapsed = duration::zero(); ///< Time from sending to the end.
    duration latency_goal = seconds{1};  ///< Latency goal of the route.
    std::size_t answer_bytes = 0;        ///< Bytes of the answer's body; 0: none.
    bool rejected = false;               ///< Whether the target had no room.

    [[nodiscard]] auto operator==(const zone_evidence&) const -> bool = default;
};

/// \brief Begin or end of leaving the own availability zone.
struct zone_change
{
    std::string group;     ///< Group of services.
    bool leaving = false;  ///< Whether leaving begins.
    double own_load = 0.0; ///< Load of the own zone; 0 if unknown.
    double price = 0.0;    ///< Price of an answer from another zone, as a load.

    [[nodiscard]] auto operator==(const zone_change&) const -> bool = default;
};

/// \brief Decides which share of the first sends of a group of services leaves the own
///        availability zone.
///
/// \detail The share rises by steps while the own zone is loaded and another zone is faster by more
///         than the price of the bytes, and is taken back when the own zone has recovered or the
///         zones that help are loaded themselves. Between the bounds it stays. Instances step at
///         random times. The number of groups is bounded; others are not decided here.
class zone_spill
{
public:
    /// \param own_zone Availability zone of this instance.
    /// \param seed     Seed of the choices and of the times of steps.
    zone_spill(const zone_spill_policy& policy, std::string own_zone, std::uint64_t seed);

    /// \brief Chooses for the first send of a part.
    [[nodiscard]] auto choose(const std::string& group, time_point now) -> zone_preference;

    /// \brief Records an exchange that ended at `now`.
    auto observe(const std::string& group, const zone_evidence& evidence, time_point now) -> void;

    /// \brief Removes the groups that were not used since `oldest`.
    auto remove_unused(time_point oldest) -> void;

    /// \brief Returns the begin or end of leaving since the last call, if there was one.
    [[nodiscard]] auto take_change() -> std::optional<zone_change>
    {
        return std::exchange(change_, std::nullopt);
    }

    /// \brief Share of first sends of a group that may leave, 0 to 1.
    [[nodiscard]] auto share(const std::string& group) const -> double;

    /// \brief Largest share of all groups, 0 to 1.
    [[nodiscard]] auto largest_share() const -> double;

    /// \brief Number of groups with state.
    [[nodiscard]] auto groups() const noexcept -> std::size_t { return groups_.size(); }

    /// \brief Whether an availability zone is the own one.
    [[nodiscard]] auto is_own(const std::string& availability_zone) const -> bool
    {
        return availability_zone == own_zone_;
    }

private:
    struct zone_load
    {
        double sum = 0.0;
        std::size_t exchanges = 0;
        std::optional<double> load;
        time_point seen;
    };

    struct group_state
    {
        std::map<std::string, zone_load> zones;
        double share = 0.0;
        double price = 0.0;
        time_point next_step;
        time_point used;
    };

    [[nodiscard]] auto state_of(const std::string& group, time_point now) -> group_state*;
    [[nodiscard]] auto step_time() -> duration;
    auto step(const std::string& group, group_state& state, time_point now) -> void;
    auto update_loads(group_state& state, time_point now) const -> void;
    [[nodiscard]] auto own_load(const group_state& state) const -> std::optional<double>;
    [[nodiscard]] auto next_share(const group_state& state) const -> double;

    zone_spill_policy policy_;
    std::string own_zone_;
    std::mt19937_64 random_;
    std::unordered_map<std::string, group_state> groups_;
    std::optional<zone_change> change_;
};

} // namespace knapweedchute
