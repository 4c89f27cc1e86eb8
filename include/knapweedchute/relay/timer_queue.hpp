#pragma once

#include <knapweedchute/core/time.hpp>

#include <cstdint>
#include <functional>

namespace knapweedchute {

/// \brief Identifies a timer; 0 means no timer.
using timer_id = std::uint64_t;

/// \brief Interface to the clock and to timers; tests implement it with a manual clock.
class timer_queue
{
public:
    timer_queue() = default;
    timer_queue(const timer_queue&) = delete;
    auto operator=(const timer_queue&) -> timer_queue& = delete;
    virtual ~timer_queue() = default;

    /// \brief Returns the current time.
    [[nodiscard]] virtual auto now() const -> time_point = 0;

    /// \brief Runs `work` once, at or shortly after `when`, never from inside this call.
    virtual auto at(time_point when, std::function<void()> work) -> timer_id = 0;

    /// \brief Cancels a timer; has no effect if it has run or does not exist.
    virtual auto cancel(timer_id timer) -> void = 0;
};

} // namespace knapweedchute
