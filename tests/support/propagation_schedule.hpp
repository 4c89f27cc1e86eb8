#pragma once

#include "support/feed_fleet.hpp"

#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace knapweedchute::test {

/// \brief What a step of a schedule does.
enum class step_kind : std::uint8_t
{
    change,       ///< Writes a new configuration.
    other,        ///< Writes another key, which makes watches return.
    lose_store,   ///< Nothing passes between an instance and the store.
    refuse,       ///< The store refuses the calls of an instance.
    silence,      ///< The connections that an instance has to the store are silent; new ones work.
    pause,        ///< The process of an instance stands still.
    lose_peers,   ///< Nothing passes between an instance and its peers.
    join_members, ///< The last members of the fleet begin to serve.
    hold_store,   ///< The store's answers to an instance are held up on their way.
    hold_peers,   ///< All answers of peers are held up on their way.
    deafen        ///< Watches of the store hear nothing; then the store drops its history.
};

/// \brief One step of a schedule.
struct schedule_step
{
    milliseconds at{0};       ///< Time from the start of the schedule.
    step_kind kind{};         ///< What it does.
    std::size_t instance = 0; ///< Index of the instance, where one is meant.
    milliseconds duration{0}; ///< Time after which it ends, where it does.

    [[nodiscard]] auto operator==(const schedule_step&) const -> bool = default;
};

/// \brief Writes a step as it is replayed.
auto operator<<(std::ostream& output, const schedule_step& step) -> std::ostream&;

/// \brief Latest moment at which an instance in contact got a change.
struct propagation_delay
{
    duration time{0};     ///< Time from the change until it was in use.
    std::string instance; ///< Instance that was slowest.
};

/// \brief Fleet and schedule drawn from one seed.
struct drawn_schedule
{
    std::vector<std::string> zones;   ///< Availability zone of each instance.
    std::size_t joining = 0;          ///< Instances, the last ones, that join during the schedule.
    std::vector<schedule_step> steps; ///< Steps ordered by time.
};

/// \brief Draws a fleet, one to three changes and a few faults around them.
/// \param max_faults Largest number of faults, at least 1.
[[nodiscard]] auto draw_schedule(std::uint64_t seed, int max_faults) -> drawn_schedule;

/// \brief Draws a fleet, one to three changes and faults of every kind, long ones too, for
///        `schedule_player::play_revocations`.
/// \param max_faults Largest number of faults, at least 1.
[[nodiscard]] auto draw_revocations(std::uint64_t seed, int max_faults) -> drawn_schedule;

/// \brief Plays schedules of changes and faults in a fleet of given zones.
class schedule_player
{
public:
    /// \param zones   Availability zone of each instance.
    /// \param joining Instances, the last ones, that serve only from `join_members` on.
    schedule_player(std::vector<std::string> zones, std::size_t joining);

    /// \brief Plays one schedule.
    /// \detail Changes count at instances that were in contact with the store for the contact
    ///         window before; a silent connection does not end the contact, since new ones work.
    /// \returns The slowest delay, at most `limit` plus a step, with the instance.
    [[nodiscard]] auto play(const std::vector<schedule_step>& steps, duration limit) const
        -> propagation_delay;

    /// \brief Plays one schedule in a fleet whose ages are proved.
    /// \returns The longest time after a change at which an instance whose knowledge is not older
    ///          than `max_accept_age` still had the configuration before, with the instance.
    [[nodiscard]] auto play_revocations(const std::vector<schedule_step>& steps,
                                        duration max_accept_age) const -> propagation_delay;

private:
    std::vector<std::string> zones_;
    std::size_t joining_;
};

} // namespace knapweedchute::test
