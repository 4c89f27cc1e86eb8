#pragma once

#include <knapweedchute/core/time.hpp>

#include <map>

namespace knapweedchute {

/// \brief Load and failures of one target as observed by this instance.
///
/// \detail An exchange that has been open for long counts as slowness before it ends, so that a
///         pausing target is avoided early. Recorded slowness and failures decay with time, so that
///         a recovered target gets requests again without probes.
class replica_load
{
public:
    /// \brief Records that a request was sent at `now`.
    /// \param typical_latency Typical latency of such a request.
    auto on_send(time_point now, duration typical_latency) -> void;

    /// \brief Records that the request sent at `sent` ended at `now`.
    /// \param typical_latency Typical latency of such a request.
    /// \param failed          Whether it ended without a useful answer.
    auto on_end(time_point sent, time_point now, duration typical_latency, bool failed) -> void;

    /// \brief Returns the expected latency of a request as a multiple of the typical latency.
    [[nodiscard]] auto cost(time_point now) const -> double;

    /// \brief Returns the expected latency without what requests in progress add to it.
    [[nodiscard]] auto trouble(time_point now) const -> double;

    /// \brief Number of requests in progress.
    [[nodiscard]] auto in_flight() const noexcept -> std::size_t { return open_.size(); }

private:
    [[nodiscard]] auto pending(time_point now) const -> double;
    [[nodiscard]] auto failure_factor(time_point now) const -> double;
    [[nodiscard]] auto decayed(double value, double baseline, time_point now) const -> double;

    std::multimap<time_point, duration> open_;
    double slowness_ = 1.0;
    double failures_ = 0.0;
    time_point updated_;
};

} // namespace knapweedchute
