#pragma once

#include <knapweedchute/wire/bounded.hpp>

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief Change or current state of one key of the platform's store.
struct feed_event
{
    std::string key;            ///< Name of the key in the store.
    std::string value;          ///< Content; empty if the key was deleted or has expired.
    std::uint64_t revision = 0; ///< Revision of the change.
    bool deleted = false;       ///< Whether the key was deleted or has expired.

    [[nodiscard]] auto operator==(const feed_event&) const -> bool = default;
};

/// \brief Changes, or states of keys, up to a revision.
struct feed_page
{
    std::vector<feed_event> events; ///< Changes ordered by revision, or states ordered by key.
    std::uint64_t revision = 0;     ///< Revision up to which the page is complete.
    bool truncated = false;         ///< Whether another page follows.
    bool recent_disruption = false; ///< Whether keys may be missing after a store disruption.
    /// Time in milliseconds since the sender last knew that it had every change of the store.
    std::uint64_t age_ms = 0;
    /// History of the store that the revisions belong to; nothing if the source states none.
    std::optional<std::uint64_t> era = std::nullopt;

    [[nodiscard]] auto operator==(const feed_page&) const -> bool = default;
};

template <typename Archive>
auto serialize(Archive& archive, feed_event& value) -> void
{
    archive(value.key, value.value, value.revision, value.deleted);
}

template <typename Archive>
auto save(Archive& archive, const feed_page& value) -> void
{
    archive(value.events, value.revision, value.truncated, value.recent_disruption, value.age_ms,
            value.era);
}

template <typename Archive>
auto load(Archive& archive, feed_page& value) -> void
{
    archive(value.events, value.revision, value.truncated, value.recent_disruption, value.age_ms);
    try {
        archive(value.era);
    } catch (const cereal::Exception&) {
        // The encoding of the release before ends here.
        value.era.reset();
    }
}

} // namespace knapweedchute
