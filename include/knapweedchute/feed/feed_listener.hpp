#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/feed/feed_event.hpp>

#include <optional>
#include <set>
#include <string>

namespace knapweedchute {

/// \brief Told what the keys hold.
class feed_listener
{
public:
    feed_listener() = default;
    feed_listener(const feed_listener&) = delete;
    auto operator=(const feed_listener&) -> feed_listener& = delete;
    virtual ~feed_listener() = default;

    /// \brief A key holds a value.
    /// \returns Whether it says anything that was not known: a heartbeat that changes nothing is
    ///          not passed on.
    virtual auto put(const feed_event& state) -> bool = 0;

    /// \brief A key is gone.
    /// \param hold_until Until when what it named may stay in use all the same.
    virtual auto remove(const std::string& key, std::optional<time_point> hold_until) -> void = 0;

    /// \brief Exactly these keys exist.
    virtual auto complete(const std::set<std::string>& keys, std::optional<time_point> hold_until)
        -> void = 0;
};

} // namespace knapweedchute
