#pragma once

#include <knapweedchute/wire/bounded.hpp>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief One change of one key of the platform's store, or its state.
struct feed_event
{
    std::string key;            ///< Key.
    std::string value;          ///< Content; empty if the key is gone.
    std::uint64_t revision = 0; ///< Revision of the change.
    bool deleted = false;       ///< Whether the key is gone.

    [[nodiscard]] auto operator==(const feed_event&) const -> bool = default;
};

/// \brief Changes or states up to a revision.
struct feed_page
{
    std::vector<feed_event> events; ///< In the order of their revisions.
    std::uint64_t revision = 0;     ///< Everything up to here is in.
    bool truncated = false;         ///< Whether another page follows.
    bool unsettled = false;         ///< Whether entries may have vanished by the store's own fault.

    [[nodiscard]] auto operator==(const feed_page&) const -> bool = default;
};

template <typename Archive>
auto serialize(Archive& archive, feed_event& value) -> void
{
    archive(value.key, value.value, value.revision, value.deleted);
}

template <typename Archive>
auto serialize(Archive& archive, feed_page& value) -> void
{
    archive(value.events, value.revision, value.truncated, value.unsettled);
}

} // namespace knapweedchute
