#pragma once

#include <knapweedchute/route/route_table.hpp>
#include <knapweedchute/target/target_registry.hpp>

#include <set>
#include <string>

namespace knapweedchute {

/// \brief Returns the availability zones in which queries find targets of most shards.
///
/// \detail An instance in such a zone receives most parts from its own zone, so that only the
///         merged answer crosses zones, not each part. A zone counts if it has usable targets of at
///         least half as many shards as the zone with the most.
/// \param table   Active routes.
/// \param targets Known targets; excluded, draining and stale ones do not count.
/// \returns The zones; empty if no route is a query or no shard has a usable target.
[[nodiscard]] auto query_zones(const route_table& table, const target_registry& targets)
    -> std::set<std::string>;

} // namespace knapweedchute
