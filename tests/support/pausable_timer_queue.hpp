#pragma once

#include <knapweedchute/relay/timer_queue.hpp>

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
                deferred_.emplace(deferred_.size(), std::pair{id, work});
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
        for (auto& [order, task] : deferred_) {
            if (task.first == timer) {
                task.second = [] {};
            }
        }
    }

    [[nodiscard]] auto paused() const noexcept -> bool { return paused_; }

    auto pause() -> void { paused_ = true; }

    /// \brief Ends the pause and runs what became due, in its order.
    auto resume() -> void
    {
        paused_ = false;
        for (auto index = std::size_t{0}; index < deferred_.size(); ++index) {
            const auto work = std::exchange(deferred_.at(index).second, [] {});
            work();
        }
        deferred_.clear();
    }

private:
    timer_queue* clock_;
    std::map<timer_id, timer_id> running_; ///< Timers of the world by own timer.
    std::map<std::size_t, std::pair<timer_id, std::function<void()>>> deferred_;
    timer_id next_ = 1;
    bool paused_ = false;
};

} // namespace knapweedchute::test
