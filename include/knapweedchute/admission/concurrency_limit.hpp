#pragma once

#include <knapweedchute/admission/request_end.hpp>
#include <knapweedchute/core/time.hpp>

#include <cstddef>

namespace knapweedchute {

/// \brief Limits the requests that this instance has in progress at one group of services.
///
/// \detail For load above the capacity of the targets: without a limit every target queue is full,
///         each request waits longer than its latency goal, and the targets work for callers that
///         have left. The limit rises slowly while requests end in time and falls by a fraction, at
///         most once per interval, while too many end overloaded. Instances need no agreement: each
///         sees the shared queues through its own latencies.
class concurrency_limit
{
public:
    /// \brief Limit before any evidence.
    static constexpr auto initial_value = 16.0;
    /// \brief Maximum; higher values would only delay the reaction to an overload.
    static constexpr auto max_value = 64.0;

    /// \brief Sets the lower bound, which keeps every slot of the targets in use.
    /// \param value Requests in progress, at least 1.
    auto set_min(double value) noexcept -> void;

    /// \brief Adjusts the limit after a request has ended.
    /// \param in_progress Requests that were in progress, the ended one included.
    /// \param typical     Typical latency of a request; the limit falls at most once in this time.
    auto on_end(request_end end, std::size_t in_progress, duration typical, time_point now) noexcept
        -> void;

    /// \brief Returns the requests that may be in progress; fractions are meant as probabilities.
    [[nodiscard]] auto value() const noexcept -> double { return value_; }

    /// \brief Whether the limit fell within the given time before `now`.
    [[nodiscard]] auto fell_within(duration time, time_point now) const noexcept -> bool
    {
        return now - fell_at_ <= time;
    }

private:
    double value_ = initial_value;
    double min_ = 1.0;
    double overloaded_share_ = 0.0;           ///< Moving average over recent ends.
    time_point fell_at_{seconds{-1'000'000}}; ///< Long before any other time.
};

} // namespace knapweedchute
