#pragma once

#include <knapweedchute/core/time.hpp>

#include <cstdint>
#include <functional>

namespace knapweedchute {

/// \brief Names a timer; 0 names none.
using timer_id = std::uint64_t;

/// \brief Time and timers, handed to whatever must wait; tests move the time themselves.
class timer_queue
{
public:
    timer_queue() = default;
    timer_queue(const timer_queue&) = delete;
    auto operator=(const timer_queue&) -> timer_queue& = delete;
    virtual ~timer_queue() = default;

    /// \brief The present moment.
    [[nodiscard]] virtual auto now() const -> time_point = 0;

    /// \brief Runs `work` once, at or shortly after `when`, never from inside this call.
    virtual auto at(time_point when, std::function<void()> work) -> timer_id = 0;

    /// \brief Withdraws a timer; a timer that ran or never was is ignored.
    virtual auto cancel(timer_id timer) -> void = 0;
};

} // namespace knapweedchute
