#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/feed/feed_event.hpp>
#include <knapweedchute/feed/feed_position.hpp>
#include <knapweedchute/relay/exchange_result.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace knapweedchute {

/// \brief Outcome of a read or watch.
enum class feed_read_status : std::uint8_t
{
    done,            ///< The page holds the requested keys or changes.
    history_expired, ///< The changes are no longer retained; a full read is needed.
    failed           ///< No usable answer arrived.
};

/// \brief Why a read or watch failed.
enum class feed_failure : std::uint8_t
{
    no_answer,  ///< No complete answer arrived in time, or the connection closed.
    refused,    ///< The source answered that it does not serve the call.
    too_large,  ///< The answer exceeded what a call takes in.
    cut_short,  ///< Part of an answer arrived before the time was over or the connection closed.
    unreadable, ///< A complete answer arrived that is no page.
    too_old,    ///< The page is older than what may be used.
    no_advance, ///< The pages of a list do not advance.
    older_era   ///< The answer is from an earlier history of the store.
};

/// \brief Whether the source answered in a way that the same call would only repeat.
[[nodiscard]] constexpr auto is_unusable_answer(feed_failure failure) noexcept -> bool
{
    return failure == feed_failure::too_large || failure == feed_failure::cut_short ||
           failure == feed_failure::unreadable;
}

/// \brief Returns the name of a failure for logs.
[[nodiscard]] auto to_string(feed_failure failure) noexcept -> std::string_view;

/// \brief Result of a read or watch.
struct feed_reply
{
    feed_read_status status = feed_read_status::failed; ///< Outcome.
    feed_page page;                                     ///< Valid if the status is `done`.
    feed_failure failure = feed_failure::no_answer;     ///< Valid if the status is `failed`.
    /// Revision that the source states for itself, if the status is `done`; it may be beyond the
    /// changes that a watch tells.
    std::uint64_t stated_revision = 0;
};

/// \brief Creates the result of a read or watch that failed.
[[nodiscard]] inline auto failed_reply(feed_failure failure) -> feed_reply
{
    return {feed_read_status::failed, {}, failure};
}

/// \brief Returns why a call without a usable answer failed.
/// \param result End of the call; an answer in it is a refusal.
[[nodiscard]] auto failure_of(const exchange_result& result) noexcept -> feed_failure;

/// \brief Reads keys and watches their changes, from the platform's store or a peer that reads it.
class feed_source
{
public:
    using listener = std::function<void(const feed_reply&)>;

    feed_source() = default;
    feed_source(const feed_source&) = delete;
    auto operator=(const feed_source&) -> feed_source& = delete;
    virtual ~feed_source() = default;

    /// \brief Reads one page of the keys that begin with a prefix.
    /// \param after       Last key of the previous page; empty for the first page.
    /// \param allow_stale Whether an answer may be seconds old, which the platform prices lower.
    /// \param done        Called once with the result.
    virtual auto read(const std::string& prefix, const std::string& after, bool allow_stale,
                      listener done) -> void = 0;

    /// \brief Uses new connections for the next calls, since kept ones may be silently dead.
    virtual auto renew_connections() -> void = 0;

    /// \brief Waits for changes after a revision.
    /// \param after Position up to which the changes are already present.
    /// \param wait  Time after which an empty page is returned.
    /// \param done  Called once with the result.
    virtual auto watch(feed_position after, milliseconds wait, listener done) -> void = 0;

    /// \brief Reads what the source knows beyond the state of the store in an era, which came back
    ///        from an older copy. The store itself knows nothing more.
    virtual auto read_known(std::uint64_t /*era*/, const listener& done) -> void { done({}); }

    /// \brief Makes the watch in progress fail now; no effect without one.
    virtual auto abort_watch() -> void = 0;
};

} // namespace knapweedchute
