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

/// \brief What one instance knows of one target. Changed only by its `target_table`.
struct target_state
{
    /// \param declared_as Declaration of the target.
    /// \param limiter     Estimate of what it bears.
    target_state(target_spec declared_as, warmup_limiter limiter)
        : spec{std::move(declared_as)}, warmup{limiter}
    {
    }

    target_spec spec;                        ///< As declared.
    target_share share;                      ///< Connections that this instance may use.
    target_share next_share;                 ///< Share after the latest change of instances.
    time_point next_share_from;              ///< When `next_share` replaces `share`.
    std::vector<std::string> owners;         ///< Instances that may use it, best rank first.
    bool declared = true;                    ///< Whether the configuration still names it.
    bool zone_out = false;                   ///< Whether its availability zone is taken out.
    bool leaving = false;                    ///< Whether it said that it drains.
    time_point leaving_seen;                 ///< When it said so last.
    std::optional<target_report> report;     ///< Its latest report.
    warmup_limiter warmup;                   ///< How much it bears.
    std::int64_t in_flight = 0;              ///< Attempts of this instance in progress.
    duration latency{0};                     ///< Smoothed latency; zero until known.
    std::size_t failures_in_row = 0;         ///< Failures since the last answer.
    std::size_t ejections = 0;               ///< Ejections since it was last healthy.
    std::optional<time_point> ejected_until; ///< End of the ejection.
    bool distrust_connections = false;       ///< Whether open connections may be silent.
    std::size_t connections_opened = 0;      ///< Answers so far that a connection was made for.

    /// \brief Whether it may get new work at all.
    [[nodiscard]] auto eligible() const noexcept -> bool
    {
        return declared && !zone_out && !leaving;
    }

    /// \brief Attempts that this instance may have in progress.
    /// \detail Shares shrink at once and grow only after the hold, when all instances have heard
    ///         of the change and those that give have given.
    [[nodiscard]] auto allowance(time_point now) const noexcept -> std::int64_t
    {
        const auto bearing = warmup.bearing(now);
        const auto next = next_share.max_concurrent_requests(bearing);
        return now >= next_share_from ? next
                                      : std::min(share.max_concurrent_requests(bearing), next);
    }
};

} // namespace knapweedchute
