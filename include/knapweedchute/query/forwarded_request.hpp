#pragma once

#include <knapweedchute/core/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief Request from another instance to search some shards of its query.
struct forwarded_request
{
    std::string service;               ///< Service to search.
    std::string version;               ///< Version to search.
    std::uint64_t snapshot = 0;        ///< Snapshot to search.
    std::uint32_t total_shards = 0;    ///< Number of shards in that snapshot.
    std::vector<std::uint32_t> shards; ///< Shards to search.
    std::string text;                  ///< Search text.
    std::uint32_t top = 0;             ///< Maximum number of hits.
    time_point deadline;               ///< When the answer is no longer needed.

    [[nodiscard]] auto operator==(const forwarded_request&) const -> bool = default;
};

} // namespace knapweedchute
