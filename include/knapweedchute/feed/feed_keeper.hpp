#pragma once

#include <knapweedchute/feed/feed_cache.hpp>
#include <knapweedchute/feed/feed_choice.hpp>
#include <knapweedchute/feed/feed_listener.hpp>
#include <knapweedchute/feed/feed_source.hpp>
#include <knapweedchute/relay/timer_queue.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief Keeps an instance's copy of the keys up to date, from the store or from a peer.
///
/// \detail Reads everything once, then follows the changes. After an outage it goes on from where
///         it was; after lost history it reads everything again. What is known stays in use.
class feed_keeper
{
public:
    /// \brief The members now, with this instance.
    using member_list = std::function<std::vector<member>()>;
    /// \brief The way to a peer's copy.
    using peer_source = std::function<feed_source&(const member&)>;

    /// \param store    The platform's store.
    /// \param peer     Gives the way to a peer.
    /// \param members  Gives the members.
    /// \param self     This instance.
    /// \param listener Told what the keys hold.
    /// \param fresh_prefix Keys of which no old state will do.
    feed_keeper(timer_queue& timers, feed_source& store, peer_source peer, member_list members,
                member self, feed_listener& listener, std::string fresh_prefix);

    /// \brief Starts to read.
    auto start() -> void { read_all(); }

    /// \brief What changes the copy holds for peers; nothing if it may be behind.
    [[nodiscard]] auto copy() const -> const feed_cache*;

    /// \brief Whether entries may have vanished lately by the store's own fault.
    [[nodiscard]] auto unsettled() const -> bool { return hold().has_value(); }

    /// \brief Calls `changed` after each change of the copy or of its freshness.
    auto on_change(std::function<void()> changed) -> void { changed_ = std::move(changed); }

private:
    auto follow() -> void;
    auto read_all() -> void;
    auto read_page(const std::string& prefix, const std::string& after) -> void;
    auto on_page(const std::string& prefix, const feed_reply& reply) -> void;
    auto finish_reading() -> void;
    auto watch() -> void;
    auto on_watch(const feed_reply& reply) -> void;
    auto tell_listener(const feed_event& event) -> bool;
    auto pick_source() -> feed_source&;
    auto note_loss() -> void;
    auto note_contact(bool unsettled) -> void;
    auto again_after(duration pause, void (feed_keeper::*work)()) -> void;
    [[nodiscard]] auto retry_pause() const -> duration;
    [[nodiscard]] auto hold() const -> std::optional<time_point>;

    timer_queue* timers_;
    feed_source* store_;
    peer_source peer_;
    member_list members_;
    member self_;
    feed_listener* listener_;
    std::string fresh_prefix_;
    feed_choice choice_;
    feed_cache cache_;
    std::function<void()> changed_;
    std::map<std::string, feed_event> reading_;
    std::uint64_t reading_revision_ = 0;
    std::optional<member> followed_;
    std::optional<time_point> trouble_;
    std::size_t losses_ = 0;
    bool history_lost_ = false;
};

} // namespace knapweedchute
