#pragma once

#include <knapweedchute/admission/concurrency_limit.hpp>
#include <knapweedchute/admission/return_schedule.hpp>
#include <knapweedchute/admission/waiting_queue.hpp>
#include <knapweedchute/route/route.hpp>

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace knapweedchute {

/// \brief What happens to an arriving request.
enum class admission_decision : std::uint8_t
{
    start, ///< It is sent to its targets at once.
    wait,  ///< It waits until a request of its group ends, at most until its latest start.
    reject ///< It is answered at once as not run.
};

/// \brief A decision and the state on which it is based.
struct admission_verdict
{
    admission_decision decision = admission_decision::start; ///< What happens to the request.
    duration expected_wait{0};   ///< Expected time until it could start.
    duration max_wait{0};        ///< Longest time that it may wait.
    double limit = 0.0;          ///< Requests that may be in progress in its group.
    std::size_t in_progress = 0; ///< Requests in progress in its group.
    std::size_t waiting = 0;     ///< Requests that wait in its group.

    [[nodiscard]] auto operator==(const admission_verdict&) const -> bool = default;
};

/// \brief A request as seen by admission.
struct admission_request
{
    std::uint64_t id = 0;                 ///< Id of the request, unique in this process.
    std::string group;                    ///< Group of services whose capacity it uses.
    const route* matched_route = nullptr; ///< Its route.
    time_point deadline;                  ///< When its answer must be sent.
    double slots = 1.0;                   ///< Slots that the group has for this instance.
    duration typical{0};                  ///< Typical latency of such a request.
    int priority = 0;                     ///< Its priority; 0 is served first.
    std::string workspace = {};           ///< Workspace that it belongs to; empty: none.
};

/// \brief Decides which requests are sent to targets, which wait and which are rejected.
///
/// \detail For load above the capacity of the targets. Requests that use the same services form a
///         group with one `concurrency_limit`; requests over the limit wait in a `waiting_queue`
///         if they are expected to start early enough for their latency goal, and are rejected at
///         once otherwise: what no target has seen costs the fleet nothing, and the caller can use
///         the time that it has left.
class relay_admission
{
public:
    /// \param seed Seed of the random rounding of limits and of return times.
    explicit relay_admission(std::uint64_t seed) : random_{seed}, returns_{seed} {}

    /// \brief Decides what happens to an arriving request and counts it accordingly.
    [[nodiscard]] auto on_arrival(const admission_request& request, time_point now)
        -> admission_verdict;

    /// \brief Records that an admitted request has ended.
    /// \param elapsed Time since it was admitted.
    auto on_end(const admission_request& request, request_end end, duration elapsed, time_point now)
        -> void;

    /// \brief Removes a waiting request whose caller has left or whose latest start has passed.
    auto withdraw(const admission_request& request) -> void;

    /// \brief Admits the next waiting request of a group, if the limit allows.
    /// \returns Its id; empty if none waits or the limit is reached.
    [[nodiscard]] auto admit_waiting(const std::string& group, time_point now)
        -> std::optional<std::uint64_t>;

    /// \brief Returns when the caller of a rejected request shall return.
    [[nodiscard]] auto retry_after(const admission_request& request, time_point now) -> duration;

    /// \brief Returns when the caller of a request that no target can take shall return.
    [[nodiscard]] auto retry_after_outage(const admission_request& request, time_point now)
        -> duration
    {
        return returns_.latest(request.deadline - now);
    }

    /// \brief Whether a group was overloaded recently, so that extra requests would only add load.
    [[nodiscard]] auto is_overloaded(const std::string& group, time_point now) const -> bool;

    /// \brief Number of requests that wait.
    [[nodiscard]] auto waiting() const noexcept -> std::size_t { return waiting_.size(); }

    /// \brief Removes the state of groups that were not used since `oldest`.
    auto remove_unused(time_point oldest) -> void;

private:
    struct group_state
    {
        concurrency_limit limit;
        waiting_queue queue;
        std::size_t in_progress = 0;
        duration mean_time{0};
        time_point used_at;
    };

    [[nodiscard]] auto has_capacity(const group_state& group) -> bool;
    [[nodiscard]] static auto max_wait(const admission_request& request, time_point now)
        -> duration;
    [[nodiscard]] static auto expected_wait(const group_state& group,
                                            const admission_request& request) -> duration;
    [[nodiscard]] static auto end_rate(const group_state& group, duration typical) -> double;

    std::mt19937_64 random_;
    return_schedule returns_;
    std::unordered_map<std::string, group_state> groups_;
    std::unordered_map<std::uint64_t, waiting_request> waiting_;
};

} // namespace knapweedchute
