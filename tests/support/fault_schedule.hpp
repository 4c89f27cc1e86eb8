#pragma once

#include "support/feed_fleet.hpp"

#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace knapweedchute::test {

/// \brief What a step of a schedule of faults does.
enum class fault_kind : std::uint8_t
{
    change,       ///< Writes a new configuration.
    other,        ///< Writes another key, which makes watches return.
    refuse,       ///< The store refuses the calls of some instances.
    turn_away,    ///< The store closes the connections of some instances without an answer.
    reset,        ///< The waiting watches of some instances are reset; new ones work.
    silence,      ///< The open connections of some instances are silent; new ones work.
    hold_up,      ///< Answers that begin their way to some instances are held up.
    slow_reads,   ///< Full reads take long.
    drop_history, ///< The store drops its history.
    deafen,       ///< Watches hear nothing, then are closed; then the store drops its history.
    restart,      ///< Some instances end and start again; their first read is stale.
    die           ///< An instance ends; it is listed as alive for a while.
};

/// \brief One step of a schedule of faults.
struct fault_step
{
    milliseconds at{0};          ///< Time from the start of the schedule.
    fault_kind kind{};           ///< What it does.
    std::uint64_t instances = 0; ///< Set of instances, one bit each, where some are meant.
    milliseconds duration{0};    ///< Time after which it ends, where it does.
    milliseconds amount{0};      ///< Delay or age that it brings, where it does.

    [[nodiscard]] auto operator==(const fault_step&) const -> bool = default;
};

/// \brief Writes a step as it is replayed.
auto operator<<(std::ostream& output, const fault_step& step) -> std::ostream&;

/// \brief Fleet and schedule drawn from one seed.
struct drawn_faults
{
    std::vector<std::string> zones; ///< Availability zone of each instance.
    std::vector<fault_step> steps;  ///< Steps ordered by time.
    bool gossip = false;            ///< Whether instances state their versions to each other.
    std::size_t max_events = 0;     ///< Events in an answer of a watch at most; 0: any number.
};

/// \brief Draws a fleet, single changes or a storm of them, and faults around them.
/// \param max_faults Largest number of faults, at least 1.
[[nodiscard]] auto draw_faults(std::uint64_t seed, int max_faults) -> drawn_faults;

/// \brief Oldest change that an instance lacked, by what is judged.
struct missing_change
{
    duration age{0};      ///< Time since the change was written.
    std::string instance; ///< Instance that lacked it.
    duration at{0};       ///< Time from the start of the schedule.
};

/// \brief What a play shows.
///
/// \detail An instance is in contact while it and its link to the store have been without a fault
///         for four seconds; connections that are silent or reset are none, since new ones work.
struct fault_findings
{
    missing_change in_contact;  ///< At an instance in contact.
    missing_change turned_away; ///< At an instance whose only fault is that the store refuses it.
    missing_change claimed; ///< At either, while it took its knowledge for newer than the limit.
    missing_change claimed_out; ///< The same at all others.
};

/// \brief Plays a schedule of faults.
/// \param limit Time within which a change must be in use, and age that is claimed.
[[nodiscard]] auto play_faults(const drawn_faults& drawn, duration limit) -> fault_findings;

} // namespace knapweedchute::test
