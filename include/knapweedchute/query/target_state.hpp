#pragma once

#include <knapweedchute/config/target_spec.hpp>
#include <knapweedchute/membership/ownership.hpp>
#include <knapweedchute/query/target_report.hpp>
#include <knapweedchute/query/warmup_limiter.hpp>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

namespace knapweedchute {

/// \brief State of one target as observed by this instance; modified only by `target_table`.
struct target_state
{
    /// \param declaration Declaration of the target.
    /// \param limiter     Estimate of the capacity of the target.
    target_state(target_spec declaration, warmup_limiter limiter)
        : spec{std::move(declaration)}, warmup{limiter}
    {
    }

    target_spec spec;                        ///< Declaration of the target.
    target_share share;                      ///< This instance's share of its capacity.
    target_share next_share;                 ///< Share after the latest membership change.
    time_point next_share_from;              ///< When `next_share` replaces `share`.
    std::vector<std::string> owners;         ///< Instances that may use the target, by rank.
    bool declared = true;                    ///< Whether the configuration contains it.
    bool zone_excluded = false;              ///< Whether its availability zone is excluded.
    bool leaving = false;                    ///< Whether it reported that it is draining.
    time_point last_reported_leaving;        ///< Time of the latest such report.
    std::optional<target_report> report;     ///< Latest report of the target.
    warmup_limiter warmup;                   ///< Estimate of its capacity.
    std::int64_t in_flight = 0;              ///< Active attempts of this instance.
    duration latency{0};                     ///< Smoothed latency; zero until the first answer.
    std::size_t consecutive_failures = 0;    ///< Failures since the last answer or ejection.
    std::size_t ejections = 0;               ///< Ejections since the last answer.
    std::optional<time_point> ejected_until; ///< End of the latest ejection.
    bool require_new_connection = false;     ///< Whether open connections may be dead.
    std::size_t connections_opened = 0;      ///< Answers for which a connection was opened.

    /// \brief Whether the target may receive new requests.
    [[nodiscard]] auto eligible() const noexcept -> bool
    {
        return declared && !zone_excluded && !leaving;
    }

    /// \brief Number of attempts that this instance may have in progress at the target.
    /// \detail A share shrinks at once but grows only after `request_policy::share_hold`. By then
    ///         all instances have received the membership change and the others have reduced their
    ///         shares, so the instances together stay within the capacity of the target.
    [[nodiscard]] auto allowance(time_point now) const noexcept -> std::int64_t
    {
        const auto capacity = warmup.capacity(now);
        const auto next = next_share.max_concurrent_requests(capacity);
        return now >= next_share_from ? next
                                      : std::min(share.max_concurrent_requests(capacity), next);
    }
};

} // namespace knapweedchute
