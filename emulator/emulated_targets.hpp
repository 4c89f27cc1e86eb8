#pragma once

#include "target_model.hpp"

#include <knapweedchute/relay/exchange_port.hpp>
#include <knapweedchute/relay/timer_queue.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace knapweedchute::emulator {

/// \brief Identifies a request at an emulated target.
using job_id = std::uint64_t;

/// \brief A request as it arrives at a target.
struct job_order
{
    std::string target;          ///< Identity of the target.
    std::string request;         ///< Id of the caller's attempt.
    bool new_connection = false; ///< Whether its connection was opened for it.
};

/// \brief Targets with slots, queues, pauses and faults, in virtual time.
/// \detail Shared by all emulated instances, which send to it through `emulated_port`.
class emulated_targets
{
public:
    /// \brief Receives the result of a request, never from inside `submit`.
    using listener = std::function<void(exchange_result)>;

    /// \brief Returns the processing time of a request with the given id on an unloaded target.
    using work_function = std::function<duration(const std::string&)>;

    /// \param seed Seed of the random rejections.
    emulated_targets(timer_queue& timers, work_function work, std::uint64_t seed);

    /// \brief Adds a target or replaces its model.
    auto set(const std::string& id, const target_model& model) -> void;

    /// \brief Returns the model of a target; throws `std::out_of_range` if it is unknown.
    [[nodiscard]] auto model(const std::string& id) const -> const target_model&;

    /// \brief Hands a request to a target.
    auto submit(job_order order, listener done) -> job_id;

    /// \brief Drops a request whose connection has closed; its listener is not called.
    auto cancel(job_id job) -> void;

    /// \brief Whether any target has started to process a request.
    [[nodiscard]] auto has_run(const std::string& request) const -> bool
    {
        return started_.contains(request);
    }

    /// \brief Number of requests that all targets have started to process.
    [[nodiscard]] auto started_count() const noexcept -> std::uint64_t { return started_count_; }

private:
    struct job_state
    {
        job_order order;
        listener done;
        bool working = false;
    };

    struct target_state
    {
        target_model model;
        std::deque<job_id> waiting;
        std::size_t busy = 0;
    };

    auto end_soon(job_id id, exchange_status status, bool never_sent) -> void;
    auto start_waiting(const std::string& target) -> void;
    auto finish(job_id id) -> void;
    [[nodiscard]] auto occupied_time(const job_state& which, const target_model& model) const
        -> duration;

    timer_queue* timers_;
    work_function work_;
    std::mt19937_64 random_;
    std::map<std::string, target_state> targets_;
    std::unordered_map<job_id, job_state> jobs_;
    std::unordered_set<std::string> started_;
    std::uint64_t started_count_ = 0;
    job_id next_ = 1;
};

} // namespace knapweedchute::emulator
