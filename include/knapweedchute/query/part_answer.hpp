#pragma once

#include <knapweedchute/query/hit.hpp>
#include <knapweedchute/query/served_shard.hpp>

#include <cstdint>
#include <vector>

namespace knapweedchute {

/// \brief Answer of a target for one shard.
struct part_answer
{
    served_shard source;            ///< Snapshot and shard that were searched.
    std::uint64_t attempt = 0;      ///< Attempt number echoed by the target.
    std::uint64_t incarnation = 0;  ///< Incarnation of the target.
    bool leaving = false;           ///< Whether the target is draining.
    std::vector<hit> hits;          ///< Best hits of the shard, in rank order.
    bool opened_connection = false; ///< Whether a connection was opened; set on receipt.

    [[nodiscard]] auto operator==(const part_answer&) const -> bool = default;
};

} // namespace knapweedchute
