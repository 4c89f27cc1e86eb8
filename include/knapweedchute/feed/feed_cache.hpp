#pragma once

#include <knapweedchute/feed/feed_event.hpp>
#include <knapweedchute/feed/feed_position.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace knapweedchute {

/// \brief Holds a copy of the store's keys and their latest changes, which is served to peers.
/// \detail The newest change of a key replaces the one before, so that what is retained and sent is
///         bounded by the keys and not by how often they change.
class feed_cache
{
public:
    /// \brief Maximum number of changed keys retained for peers that lag behind.
    static constexpr auto max_changes = std::size_t{4'096};

    feed_cache() = default;
    feed_cache(const feed_cache&) = delete;
    auto operator=(const feed_cache&) -> feed_cache& = delete;
    ~feed_cache() = default;

    /// \brief Replaces the contents by a full state.
    /// \detail The differences from the earlier state are retained as changes, so that peers need
    ///         no full state of their own. The first state, one that is older and one of another
    ///         history discard all changes.
    /// \param items    Every key with its state.
    /// \param position Position up to which `items` is complete.
    auto reset(std::map<std::string, feed_event> items, feed_position position) -> void;

    /// \brief Applies the changes of a page that are newer than the cache's revision.
    auto apply(const feed_page& page) -> void;

    /// \brief Returns the changes after a position.
    /// \returns The newest change of each key, in the order of their revisions; nothing if some
    ///          are no longer retained, the position is in another history, or the cache has no
    ///          state yet.
    [[nodiscard]] auto changes_after(feed_position after) const -> std::optional<feed_page>;

    /// \brief Returns the state of every key, in the order of the keys.
    [[nodiscard]] auto full_state() const -> feed_page;

    /// \brief State of every key.
    [[nodiscard]] auto items() const noexcept -> const std::map<std::string, feed_event>&
    {
        return items_;
    }

    /// \brief Returns the last state of every key, the retained deletions included.
    [[nodiscard]] auto last_states() const -> std::map<std::string, feed_event>;

    /// \brief Position up to which the cache is complete.
    [[nodiscard]] auto position() const noexcept -> feed_position { return {era_, revision_}; }

    /// \brief Revision up to which the cache is complete; 0 before the first full state.
    [[nodiscard]] auto revision() const noexcept -> std::uint64_t { return revision_; }

private:
    auto retain_differences(const std::map<std::string, feed_event>& items, std::uint64_t revision)
        -> void;
    auto retain(std::uint64_t revision, const feed_event& change) -> void;
    auto drop_oldest_changes() -> void;

    using change_log = std::multimap<std::uint64_t, feed_event>;

    std::map<std::string, feed_event> items_;
    change_log changes_;
    std::map<std::string, change_log::iterator> newest_changes_; ///< Of each key in `changes_`.
    std::uint64_t history_start_ = 0;
    std::uint64_t era_ = 0;
    std::uint64_t revision_ = 0;
    /// Highest revision of an earlier history in this era, which the store did not tell apart.
    std::uint64_t replaced_up_to_ = 0;
};

} // namespace knapweedchute
