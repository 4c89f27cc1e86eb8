#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/feed/feed_event.hpp>

#include <optional>
#include <set>
#include <string>

namespace knapweedchute {

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
};

} // namespace knapweedchute
