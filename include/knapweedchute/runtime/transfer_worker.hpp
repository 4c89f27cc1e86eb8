#pragma once

#include <knapweedchute/runtime/transfer.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace knapweedchute {

/// \brief A thread that performs HTTP exchanges with targets and runs posted tasks.
class transfer_worker
{
public:
    /// \brief Work for the worker's thread.
    using task = std::function<void()>;

    /// \brief Called on the worker's thread when a transfer ends, unless it was cancelled.
    using completion = std::function<void(transfer_result)>;

    /// \brief Called on the worker's thread in each iteration; returns when it is due next.
    using tick_function = std::function<std::optional<time_point>(time_point)>;

    /// \param tick Periodic work of the owner.
    explicit transfer_worker(tick_function tick);
    transfer_worker(const transfer_worker&) = delete;
    auto operator=(const transfer_worker&) -> transfer_worker& = delete;

    /// \brief Stops the thread; the completions of transfers in progress are not called.
    ~transfer_worker();

    /// \brief Runs a task on the worker's thread. May be called from any thread.
    auto post(task work) -> void;

    /// \brief Starts a transfer. Worker's thread only.
    auto start(const transfer_request& request, completion done) -> transfer_key;

    /// \brief Cancels a transfer; its completion is not called. Worker's thread only.
    auto cancel(transfer_key key) -> void;

private:
    class state;

    auto run() -> void;

    tick_function tick_;
    std::unique_ptr<state> state_;
    std::mutex tasks_mutex_;
    std::vector<task> tasks_;
    std::atomic<bool> stopping_{false};
    int wake_fd_ = -1;
    std::thread thread_;
};

} // namespace knapweedchute
