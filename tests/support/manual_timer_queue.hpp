#pragma once

#include <knapweedchute/relay/timer_queue.hpp>

#include <map>
#include <utility>

namespace knapweedchute::test {

/// \brief Timers of a time that the test moves.
class manual_timer_queue final : public timer_queue
{
public:
    [[nodiscard]] auto now() const -> time_point override { return now_ += creep; }

    duration creep{0}; ///< Time that passes with each look at the clock, as with a real one.

    auto at(time_point when, std::function<void()> work) -> timer_id override
    {
        const auto id = next_++;
        queue_.emplace(std::pair{std::max(when, now_), id}, std::move(work));
        return id;
    }

    auto cancel(timer_id timer) -> void override
    {
        std::erase_if(queue_, [&](const auto& item) { return item.first.second == timer; });
    }

    /// \brief Moves the time, running what becomes due in order.
    auto advance(duration time) -> void
    {
        const auto end = now_ + time;
        while (!queue_.empty() && queue_.begin()->first.first <= end) {
            auto node = queue_.extract(queue_.begin());
            now_ = node.key().first;
            node.mapped()();
        }
        now_ = end;
    }

private:
    std::map<std::pair<time_point, timer_id>, std::function<void()>> queue_;
    mutable time_point now_{seconds{1'000}};
    timer_id next_ = 1;
};

} // namespace knapweedchute::test
