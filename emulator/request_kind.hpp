#pragma once

#include <knapweedchute/core/time.hpp>

#include <string>

namespace knapweedchute::emulator {

/// \brief Requests of one route and what their callers expect.
struct request_kind
{
    std::string name;                                     ///< Name, also of the route.
    double share = 1.0;                                   ///< Share of all requests.
    std::chrono::duration<double, std::milli> work{20.0}; ///< Mean time that a target needs.
    double work_spread = 0.35;    ///< Standard deviation of the time's logarithm.
    milliseconds goal{150};       ///< Latency up to which an answer is in time.
    milliseconds deadline{2'500}; ///< Time until the caller gives up.
    double min_coverage = 0.89;   ///< Minimum share of shards; ignored for relays.
    bool all_shards = true;       ///< False: the request goes to one service.
    bool idempotent = true;       ///< Whether it may run more than once.
    int priority = 1;             ///< Priority of the route.
    int retries = 1;              ///< How often a caller tries again.

    [[nodiscard]] auto operator==(const request_kind&) const -> bool = default;
};

} // namespace knapweedchute::emulator
