#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/query/served_shard.hpp>

#include <cstdint>
#include <vector>

namespace knapweedchute {

/// \brief Status that a target reports about itself.
struct target_report
{
    std::uint64_t incarnation = 0;     ///< Changes when the target restarts.
    milliseconds uptime{0};            ///< Time since the target started.
    bool leaving = false;              ///< Whether the target is draining.
    std::vector<served_shard> serving; ///< Shards that the target holds.

    [[nodiscard]] auto operator==(const target_report&) const -> bool = default;
};

} // namespace knapweedchute
