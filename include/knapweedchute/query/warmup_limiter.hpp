#pragma once

#include <knapweedchute/core/time.hpp>

#include <cstdint>

namespace knapweedchute {

/// \brief Estimates how many concurrent requests a target accepts while it warms up.
///
/// \detail The estimate applies to all instances together. It rises linearly from the capacity of a
///         cold target to the full limit over the warm-up time. A shed request halves the estimate
///         and restarts the rise from there.
class warmup_limiter
{
public:
    /// \param cold_requests Concurrent requests that a cold target accepts.
    /// \param limit         Concurrent requests that a warm target accepts.
    /// \param warmup        Time that a target takes to warm up.
    warmup_limiter(std::int64_t cold_requests, std::int64_t limit, duration warmup) noexcept;

    /// \brief Restarts the estimate after a restart of the target.
    /// \param uptime Time since the target started.
    auto restart(time_point now, duration uptime) noexcept -> void;

    /// \brief Lowers the estimate after the target shed a request.
    auto on_shed(time_point now) noexcept -> void;

    /// \brief Concurrent requests that the target accepts now from all instances.
    [[nodiscard]] auto capacity(time_point now) const noexcept -> std::int64_t;

    /// \brief Whether the capacity is below the limit.
    [[nodiscard]] auto warming(time_point now) const noexcept -> bool;

private:
    std::int64_t cold_requests_;
    std::int64_t limit_;
    duration warmup_;
    std::int64_t base_capacity_;
    time_point rise_started_;
};

} // namespace knapweedchute
