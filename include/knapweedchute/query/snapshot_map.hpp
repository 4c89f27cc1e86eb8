#pragma once

#include <knapweedchute/query/target_state.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace knapweedchute {

/// \brief Targets that hold each shard of one snapshot.
struct snapshot_map
{
    std::uint64_t snapshot = 0;                                       ///< Number of the snapshot.
    std::vector<std::vector<std::shared_ptr<target_state>>> replicas; ///< Targets by shard.

    /// \brief Number of shards that at least one eligible target holds.
    [[nodiscard]] auto covered_shards() const noexcept -> std::size_t;
};

} // namespace knapweedchute
