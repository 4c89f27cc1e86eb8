#pragma once

#include <knapweedchute/core/time.hpp>

#include <cstdint>
#include <random>

namespace knapweedchute {

/// \brief Tells rejected callers when to return.
///
/// \detail For many callers rejected at once: if all returned after the same time, each return
///         would be the next overload. Every rejected caller is given a time of its own, spaced by
///         the rate at which requests end. Callers of urgent kinds are given earlier times.
class return_schedule
{
public:
    /// \brief Shortest time after which a caller is told to return.
    static constexpr auto min_time = milliseconds{100};
    /// \brief Longest time after which a caller is told to return.
    static constexpr auto max_time = seconds{5};
    /// \brief Callers heed a return time only up to this fraction of the time that they have left.
    static constexpr auto heeded_fraction = 1.0 / 3.0;

    /// \param seed Seed of the random spread.
    explicit return_schedule(std::uint64_t seed) : random_{seed} {}

    /// \brief Returns when the next rejected caller shall return.
    /// \param rate      Requests that end per second; 0 if unknown.
    /// \param time_left Time until the caller's deadline.
    /// \param priority  Priority of the request; 0 is the most urgent.
    /// \returns Time from `now`, between `min_time` and the smaller of `max_time` and the heeded
    ///          fraction of `time_left`.
    [[nodiscard]] auto next(double rate, duration time_left, int priority, time_point now)
        -> duration;

    /// \brief Returns when a caller shall return whose request no target can take now.
    /// \detail When targets will be back is not known; a caller that returns early would only use
    /// up
    ///         its retries.
    /// \param time_left Time until the caller's deadline.
    /// \returns A time near the longest that `next` returns.
    [[nodiscard]] auto latest(duration time_left) -> duration;

private:
    std::mt19937_64 random_;
    time_point next_return_;
};

/// \brief Returns when a caller shall return to an instance that has no configuration yet.
/// \param waited Time for which the instance has waited for its first configuration.
/// \returns A quarter of a second at first, later half of the time waited, at most two seconds.
[[nodiscard]] auto retry_after_start(duration waited) noexcept -> duration;

} // namespace knapweedchute
