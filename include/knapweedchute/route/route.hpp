#pragma once

#include <knapweedchute/core/time.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief A service and its weight in a route.
struct weighted_service
{
    std::string service; ///< Name of the service.
    double weight = 1.0; ///< Share of the requests, relative to the other weights of the route.

    [[nodiscard]] auto operator==(const weighted_service&) const -> bool = default;
};

/// \brief Destination and limits of the requests with one host and path prefix.
struct route
{
    std::string name;                    ///< Name for logs and metrics.
    std::string host;                    ///< Host name, lower case, without a port.
    std::string prefix;                  ///< Path prefix; begins and ends with a slash.
    bool idempotent = false;             ///< Whether a request may run more than once.
    milliseconds timeout{10'000};        ///< Maximum time until the answer.
    milliseconds latency_goal{1'000};    ///< Latency up to which an answer has its full value.
    std::size_t max_targets = 1;         ///< Maximum targets of a request, per service.
    int priority = 0;                    ///< Priority; 0 is served first.
    std::vector<weighted_service> split; ///< Services that share the requests; empty for queries.
    std::vector<std::string> shards;     ///< Services that each answer one part; empty for relays.
    std::size_t top = 0;                 ///< Maximum records in a query's answer.
    double min_coverage = 0.0;           ///< Minimum fraction of shards in an answer, 0 to 1.
    bool is_public = false;              ///< Whether requests need no key of a workspace.

    [[nodiscard]] auto operator==(const route&) const -> bool = default;

    /// \brief Whether requests go to every shard instead of one service.
    [[nodiscard]] auto is_query() const noexcept -> bool { return !shards.empty(); }
};

} // namespace knapweedchute
