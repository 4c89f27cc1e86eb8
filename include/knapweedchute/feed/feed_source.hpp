#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/feed/feed_event.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace knapweedchute {

/// \brief How a read ended.
enum class feed_end : std::uint8_t
{
    done,         ///< The page is what was asked for.
    history_gone, ///< Changes so old are not kept any more: everything must be read again.
    lost          ///< No answer, or none that can be used.
};

/// \brief End of a read with its page.
struct feed_reply
{
    feed_end end = feed_end::lost; ///< How it ended.
    feed_page page;                ///< For `done`.
};

/// \brief Where keys and their changes can be read: the platform's store, or a peer that reads it.
class feed_source
{
public:
    using listener = std::function<void(const feed_reply&)>;

    feed_source() = default;
    feed_source(const feed_source&) = delete;
    auto operator=(const feed_source&) -> feed_source& = delete;
    virtual ~feed_source() = default;

    /// \brief Reads a page of all keys that begin with a prefix.
    /// \param after     Last key of the page before; empty for the first.
    /// \param may_be_old Whether an answer that is seconds old will do, at a lower price.
    virtual auto read(const std::string& prefix, const std::string& after, bool may_be_old,
                      listener done) -> void = 0;

    /// \brief Uses new connections from now on: kept ones may have fallen silent.
    virtual auto renew() -> void = 0;

    /// \brief Waits for changes after a revision.
    virtual auto watch(std::uint64_t after, milliseconds wait, listener done) -> void = 0;
};

} // namespace knapweedchute
