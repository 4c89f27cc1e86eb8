#pragma once

#include <knapweedchute/query/hit.hpp>
#include <knapweedchute/query/served_shard.hpp>

#include <cstdint>
#include <vector>

namespace knapweedchute {

/// \brief A target's answer for one shard.
struct part_answer
{
    served_shard source;            ///< Shard and snapshot that answered.
    std::uint64_t attempt = 0;      ///< Attempt that the target echoed.
    std::uint64_t incarnation = 0;  ///< Incarnation of the target.
    bool leaving = false;           ///< Whether the target drains.
    std::vector<hit> hits;          ///< Best hits of the shard, in rank order.
    bool opened_connection = false; ///< Whether a connection was made for it; not from the target.

    [[nodiscard]] auto operator==(const part_answer&) const -> bool = default;
};

} // namespace knapweedchute
