#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/feed/feed_event.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace knapweedchute {

/// \brief When the state of an entry is used that a restored store has otherwise than it was known.
enum class restored_use : std::uint8_t
{
    at_once,     ///< Now: it is not older than what was known.
    after_hold,  ///< Once the time has passed within which lost entries are written again.
    once_written ///< Not before the entry is written again.
};

/// \brief Receives the values, deletions and complete list of the store's keys.
class feed_listener
{
public:
    feed_listener() = default;
    feed_listener(const feed_listener&) = delete;
    auto operator=(const feed_listener&) -> feed_listener& = delete;
    virtual ~feed_listener() = default;

    /// \brief Called with the state of a key that has a value.
    /// \returns Whether the state contains anything new; a heartbeat that changes nothing is not
    ///          forwarded to peers.
    virtual auto on_value(const feed_event& state) -> bool = 0;

    /// \brief Called when a key was deleted or has expired.
    /// \param hold_until Time until which the entry may stay in use, if the deletion may result
    ///                   from a store disruption.
    virtual auto on_deletion(const std::string& key, std::optional<time_point> hold_until)
        -> void = 0;

    /// \brief Called after a full read with all existing keys.
    /// \param hold_until Time until which entries of missing keys may stay in use, if their absence
    ///                   may result from a store disruption.
    virtual auto on_complete_list(const std::set<std::string>& keys,
                                  std::optional<time_point> hold_until) -> void = 0;

    /// \brief Called before the first states of another history of the store; revisions of before
    ///        say nothing any more.
    virtual auto on_restored(std::uint64_t /*era*/) -> void {}

    /// \brief Decides when the state of an entry is used that the store, back from an older copy,
    ///        has otherwise than it was known.
    /// \param known    Last known state; deleted if the key was known to be gone.
    /// \param restored State in the store; deleted if the store lacks the key.
    [[nodiscard]] virtual auto use_of_restored(const feed_event& /*known*/,
                                               const feed_event& /*restored*/) const -> restored_use
    {
        return restored_use::after_hold;
    }
};

} // namespace knapweedchute
