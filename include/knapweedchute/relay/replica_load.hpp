#pragma once

#include <knapweedchute/core/time.hpp>

#include <map>

namespace knapweedchute {

/// \brief What one instance has seen of one target.
///
/// \detail Made for targets that pause, slow down or fail: an exchange that is open for long counts
/// as
///         slowness before it ends, and remembered slowness fades with time, so that a target is
///         tried again without probes.
class replica_load
{
public:
    /// \brief Notes that a request was sent.
    /// \param usual Time that such a request usually takes.
    auto on_send(time_point now, duration usual) -> void;

    /// \brief Notes that the request sent at `sent` ended.
    /// \param usual  Time that such a request usually takes.
    /// \param failed Whether it ended without a useful answer.
    auto on_end(time_point sent, time_point now, duration usual, bool failed) -> void;

    /// \brief Expected time of a request here, as a multiple of the usual time.
    [[nodiscard]] auto cost(time_point now) const -> double;

    /// \brief Requests open now.
    [[nodiscard]] auto in_flight() const noexcept -> std::size_t { return open_.size(); }

private:
    [[nodiscard]] auto faded(double value, double rest, time_point now) const -> double;

    std::multimap<time_point, duration> open_;
    double slowness_ = 1.0;
    double failures_ = 0.0;
    time_point updated_;
};

} // namespace knapweedchute
