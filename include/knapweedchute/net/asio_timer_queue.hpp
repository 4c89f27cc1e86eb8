#pragma once

#include <knapweedchute/relay/timer_queue.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <unordered_map>
#include <utility>

namespace knapweedchute {

/// \brief Timer queue of one event loop.
/// \detail All timers share one Asio timer. Adding a timer costs a system call only if it becomes
///         the earliest one, and cancelling costs none. Not thread-safe: used only by the thread
///         that runs the loop.
class asio_timer_queue final : public timer_queue
{
public:
    explicit asio_timer_queue(boost::asio::io_context& loop);

    [[nodiscard]] auto now() const -> time_point override;
    auto at(time_point when, std::function<void()> work) -> timer_id override;
    auto cancel(timer_id timer) -> void override;

private:
    auto arm() -> void;
    auto run_due() -> void;

    boost::asio::steady_timer timer_;
    std::map<std::pair<time_point, timer_id>, std::function<void()>> queue_;
    std::unordered_map<timer_id, time_point> times_;
    timer_id next_ = 1;
    time_point armed_ = time_point::max();
};

} // namespace knapweedchute
