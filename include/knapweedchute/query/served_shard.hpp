#pragma once

#include <compare>
#include <cstdint>

namespace knapweedchute {

/// \brief Identifies one shard of a snapshot.
struct served_shard
{
    std::uint64_t snapshot = 0; ///< Number of the snapshot; increases with each new one.
    std::uint32_t shards = 0;   ///< Number of shards in the snapshot.
    std::uint32_t shard = 0;    ///< Index of the shard, from 0.

    [[nodiscard]] auto operator<=>(const served_shard&) const = default;
};

} // namespace knapweedchute
