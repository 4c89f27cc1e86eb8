#pragma once

#include <knapweedchute/core/time.hpp>

#include <cstddef>

namespace knapweedchute {

/// \brief Figures that steer the relay of requests.
struct relay_policy
{
    /// Kept free at the end of a caller's time, for the way of the answer.
    duration answer_margin = milliseconds{15};
    /// Kept free before a route's latency goal, for the way to and from the caller.
    duration goal_margin = milliseconds{14};
    /// How long an exchange whose answer is no longer needed may go on, so that its connection
    /// is kept. None: cancelling at once frees the target's slot; `bench_requests` compares.
    duration linger = milliseconds{0};
    /// Least time left for which a target is asked at all.
    duration least_useful = milliseconds{4};
    /// Sends that never left this instance before a part is given up.
    std::size_t most_unsent = 4;
    /// Looks for stragglers per request.
    int straggler_checks = 3;
    /// Added cost of a target in another availability zone, as a part of the usual time.
    double zone_cost = 0.15;
    /// Spread of costs, so that instances with equal views do not all choose alike.
    double cost_spread = 0.1;
    /// What callers are told to wait when no target can take their request.
    duration retry_after = milliseconds{250};
};

} // namespace knapweedchute
