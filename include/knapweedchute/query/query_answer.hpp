#pragma once

#include <knapweedchute/query/hit.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief Answer to a search: the hits of one snapshot and the shards that they cover.
struct query_answer
{
    std::string version;                ///< Version that was searched.
    std::uint64_t snapshot = 0;         ///< Snapshot that all hits come from.
    std::uint32_t shards = 0;           ///< Number of shards in that snapshot.
    std::uint32_t answered = 0;         ///< Number of shards that answered.
    std::vector<std::uint32_t> missing; ///< Shards that did not answer.
    std::vector<hit> hits;              ///< Best hits, in rank order.

    [[nodiscard]] auto operator==(const query_answer&) const -> bool = default;
};

} // namespace knapweedchute
