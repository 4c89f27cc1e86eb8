#pragma once

#include <knapweedchute/core/time.hpp>

#include <cstddef>
#include <cstdint>

namespace knapweedchute {

/// \brief Parameters of request relaying.
struct relay_policy
{
    /// Time reserved before a caller's deadline for sending the answer.
    duration answer_margin = milliseconds{15};
    /// Time reserved before a route's latency goal for the network between caller and instance.
    duration goal_margin = milliseconds{14};
    /// Delay before an exchange whose answer is no longer needed is cancelled. A delay can save
    /// the connection; cancelling at once frees the target's slot. `bench_requests` compares both.
    duration cancel_delay = milliseconds{0};
    /// Minimum time before the deadline at which a part is still sent.
    duration min_time_left = milliseconds{4};
    /// Sends that never left this instance after which a part is abandoned.
    std::size_t max_unsent = 4;
    /// Maximum checks for stragglers per request.
    int max_straggler_checks = 3;
    /// Cost added to a target in another availability zone, as a multiple of typical latency.
    double zone_cost = 0.4;
    /// Latency that a KiB from another availability zone is worth, in ms; 0: whether first sends
    /// leave the own zone depends on the cost alone.
    double zone_byte_price = 0.0;
    /// Slowness and failures of a target, as a multiple of typical latency, from which a send does
    /// not stay in the own zone for its sake.
    double dark_cost = 4.0;
    /// Divisor of a target's slots that gives the requests in progress up to which an instance of
    /// another availability zone sends to it to leave its own; at least 1.
    std::int64_t helper_slots_divisor = 4;
    /// Random variation of costs, so that instances with equal state select different targets.
    double cost_spread = 0.1;
    /// Times that a part that all its targets have rejected is sent anew, after a short delay.
    int max_rounds = 2;
    /// Age of what is known of the configuration up to which a request without a route is answered
    /// as such and not as "not run": a route that was added may be missing here.
    duration max_refuse_age = duration::max();
    /// Whether requests above the capacity of the targets wait or are rejected before any part is
    /// sent.
    bool limit_concurrency = true;
};

} // namespace knapweedchute
