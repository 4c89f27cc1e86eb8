#pragma once

#include <knapweedchute/relay/timer_queue.hpp>

#include <deque>
#include <functional>
#include <map>
#include <utility>

namespace knapweedchute::test {

/// \brief Timers of one process that can be paused: what becomes due meanwhile runs at its end.
class pausable_timer_queue final : public timer_queue
{
public:
    /// \param clock Timers of the world, which go on during a pause.
    explicit pausable_timer_queue(timer_queue& clock) : clock_{&clock} {}

    [[nodiscard]] auto now() const -> time_point override { return clock_->now(); }

    auto at(time_point when, std::function<void()> work) -> timer_id override
    {
        const auto id = next_++;
        running_[id] = clock_->at(when, [this, id, work = std::move(work)] {
            running_.erase(id);
            if (paused_) {
                deferred_.push_back({id, work});
            } else {
                work();
            }
        });
        return id;
    }

    auto cancel(timer_id timer) -> void override
    {
        if (const auto node = running_.extract(timer); !node.empty()) {
            clock_->cancel(node.mapped());
        }
        std::erase_if(deferred_, [&](const auto& task) { return task.id == timer; });
    }

    auto pause() -> void { paused_ = true; }

    [[nodiscard]] auto paused() const noexcept -> bool { return paused_; }

    /// \brief Ends the pause and runs what became due, in its order.
    auto resume() -> void
    {
        paused_ = false;
        while (!deferred_.empty()) {
            const auto task = std::move(deferred_.front());
            deferred_.pop_front();
            task.work();
        }
    }

private:
    struct deferred_task
    {
        timer_id id;
        std::function<void()> work;
    };

    timer_queue* clock_;
    std::map<timer_id, timer_id> running_; ///< Timers of the world by own timer.
    std::deque<deferred_task> deferred_;   ///< Due during the pause, in order.
    timer_id next_ = 1;
    bool paused_ = false;
};

} // namespace knapweedchute::test
