#pragma once

#include <knapweedchute/core/time.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief A service with its part of a route's requests.
struct weighted_service
{
    std::string service; ///< Name of the service.
    double weight = 1.0; ///< Part of the requests, relative to the other weights of the route.

    [[nodiscard]] auto operator==(const weighted_service&) const -> bool = default;
};

/// \brief Where requests of one host and path prefix go, and under which bounds.
struct route
{
    std::string name;                    ///< Name for logs and metrics.
    std::string host;                    ///< Host name, lower case, without a port.
    std::string prefix;                  ///< Beginning of the path; begins and ends with a slash.
    bool idempotent = false;             ///< Whether a request may run more than once.
    milliseconds timeout{10'000};        ///< Longest time that a caller is kept waiting.
    milliseconds latency_goal{1'000};    ///< Time within which an answer has its full worth.
    std::size_t most_targets = 1;        ///< Targets that one request may be sent to, per service.
    int priority = 0;                    ///< Rank; 0 is served first.
    std::vector<weighted_service> split; ///< Services that share the requests; empty for queries.
    std::vector<std::string> shards;     ///< Services that each answer a part; empty for relays.
    std::size_t top = 0;                 ///< Records in the answer of a query.
    double least_coverage = 0.0;         ///< Least share of shards in an answer, 0 to 1.

    [[nodiscard]] auto operator==(const route&) const -> bool = default;

    /// \brief Whether requests go to every shard rather than to one service.
    [[nodiscard]] auto is_query() const noexcept -> bool { return !shards.empty(); }
};

} // namespace knapweedchute
