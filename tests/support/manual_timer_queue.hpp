#pragma once

#include <knapweedchute/relay/timer_queue.hpp>

#include <map>
#include <unordered_map>
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
        const auto due = std::max(when, now_);
        due_.emplace(id, due);
        queue_.emplace(std::pair{due, id}, std::move(work));
        return id;
    }

    auto cancel(timer_id timer) -> void override
    {
        if (const auto node = due_.extract(timer); !node.empty()) {
            queue_.erase({node.mapped(), timer});
        }
    }

    /// \brief Moves the time, running what becomes due in order.
    auto advance(duration time) -> void
    {
        const auto end = now_ + time;
        while (!queue_.empty() && queue_.begin()->first.first <= end) {
            auto node = queue_.extract(queue_.begin());
            due_.erase(node.key().second);
            now_ = node.key().first;
            node.mapped()();
        }
        now_ = end;
    }

private:
    std::map<std::pair<time_point, timer_id>, std::function<void()>> queue_;
    std::unordered_map<timer_id, time_point> due_;
    mutable time_point now_{seconds{1'000}};
    timer_id next_ = 1;
};

} // namespace knapweedchute::test
