#include <knapweedchute/net/asio_timer_queue.hpp>

namespace knapweedchute {

asio_timer_queue::asio_timer_queue(boost::asio::io_context& loop) : timer_{loop} {}

auto asio_timer_queue::now() const -> time_point
{
    return steady_clock::now();
}

auto asio_timer_queue::at(time_point when, std::function<void()> work) -> timer_id
{
    const auto id = next_++;
    queue_.emplace(std::pair{when, id}, std::move(work));
    times_.emplace(id, when);
    if (when < armed_) {
        arm();
    }
    return id;
}

auto asio_timer_queue::cancel(timer_id timer) -> void
{
    const auto found = times_.find(timer);
    if (found == times_.end()) {
        return;
    }
    queue_.erase({found->second, timer});
    times_.erase(found);
}

auto asio_timer_queue::arm() -> void
{
    armed_ = queue_.begin()->first.first;
    timer_.expires_at(armed_);
    timer_.async_wait([this](const boost::system::error_code& failure) {
        if (!failure) {
            run_due();
        }
    });
}

auto asio_timer_queue::run_due() -> void
{
    armed_ = time_point::max();
    const auto moment = now();
    while (!queue_.empty() && queue_.begin()->first.first <= moment) {
        auto node = queue_.extract(queue_.begin());
        times_.erase(node.key().second);
        node.mapped()();
    }
    if (!queue_.empty() && queue_.begin()->first.first < armed_) {
        arm();
    }
}

} // namespace knapweedchute
