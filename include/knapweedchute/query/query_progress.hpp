#pragma once

#include <knapweedchute/query/action.hpp>
#include <knapweedchute/query/search_request.hpp>
#include <knapweedchute/query/snapshot_map.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace knapweedchute::impl {

/// \brief State of one part of a query.
enum class part_state : std::uint8_t
{
    waiting,  ///< Not sent, or waiting for a slot at a replica.
    sent,     ///< At least one attempt is in progress.
    answered, ///< A replica answered.
    missing   ///< Abandoned, or not part of this query.
};

/// \brief Progress of one part of a query.
struct part_progress
{
    part_state state = part_state::waiting;
    bool hedged = false;
    bool queued = false;
    bool lost_snapshot = false;
    std::size_t attempts = 0;
    time_point first_sent;
    std::vector<attempt_key> active_attempts;
    std::vector<target_state*> tried;
};

/// \brief Progress of one query.
struct query_progress
{
    search_request request;
    std::string version;
    std::shared_ptr<const snapshot_map> map;
    std::vector<part_progress> parts;
    std::vector<hit> hits;
    time_point started;
    std::uint32_t answered = 0;
    std::uint32_t missing = 0;
    std::uint32_t requested = 0;
    bool sent = false;
    bool restarted = false;
    bool forwarded = false;
    bool opened_connection = false; ///< Opened one of the first connections; not counted as slow.
};

/// \brief One attempt in progress.
struct attempt_progress
{
    query_key query = 0;
    std::vector<std::uint32_t> shards;
    std::shared_ptr<target_state> target;
    time_point started;
};

} // namespace knapweedchute::impl
