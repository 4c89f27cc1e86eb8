#pragma once

#include <knapweedchute/core/time.hpp>

#include <cstdint>

namespace knapweedchute {

/// \brief Timing and limits of `membership`.
struct membership_options
{
    duration probe_period = milliseconds{500}; ///< Interval between probes.
    std::size_t indirect_probes = 3;           ///< Members that probe on behalf of the sender.
    std::size_t suspicion_periods = 4;         ///< Suspicion timeout in probe periods.
    std::size_t gossip_fanout = 3;             ///< Random members contacted per gossip round.
    std::size_t max_local_health = 6;          ///< Upper limit of the local health.
    duration remove_dead_after = std::chrono::minutes{10}; ///< Time that dead members are kept.

    [[nodiscard]] auto operator==(const membership_options&) const -> bool = default;
};

} // namespace knapweedchute
