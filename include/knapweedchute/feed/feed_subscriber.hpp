#pragma once

#include <knapweedchute/feed/feed_cache.hpp>
#include <knapweedchute/feed/feed_limits.hpp>
#include <knapweedchute/feed/feed_listener.hpp>
#include <knapweedchute/feed/feed_source.hpp>
#include <knapweedchute/feed/feed_source_selector.hpp>
#include <knapweedchute/feed/restored_entries.hpp>
#include <knapweedchute/relay/timer_queue.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief Keeps an instance's copy of the keys current, from the store or from a peer.
///
/// \detail Reads all keys once, then follows their changes. After an outage it resumes from its
///         last revision; if the changes since then are no longer available, it reads all keys
///         again. Meanwhile the copy stays in use. That a watch tells nothing is no proof that
///         nothing has changed: the store's own revision, which may be stale, is compared. A store
///         that comes back from an older copy begins another history: all is read again, and what
///         was known prevails until lost entries are written again.
class feed_subscriber
{
public:
    /// \brief Returns the current members, including this instance.
    using member_provider = std::function<std::vector<member>()>;
    /// \brief Returns the source that reads from a peer.
    using peer_source_lookup = std::function<feed_source&(const member&)>;

    /// \brief Returns the time since the machine started, with the time that it was suspended.
    using uptime_clock = std::function<duration()>;

    /// \param store            The platform's store.
    /// \param find_peer_source Returns the source for a peer.
    /// \param members          Returns the current members.
    /// \param self             This instance.
    /// \param listener         Notified of values, deletions and complete key lists.
    /// \param fresh_prefix     Prefix of the keys whose state must not be stale; a full read also
    ///                         reads them separately.
    /// \param limits           Waits and ages that are allowed.
    /// \param uptime           Clock of ages; a suspension makes knowledge older.
    feed_subscriber(timer_queue& timers, feed_source& store, peer_source_lookup find_peer_source,
                    member_provider members, member self, feed_listener& listener,
                    std::string fresh_prefix, feed_limits limits, uptime_clock uptime);

    /// \brief Starts reading all keys, then follows their changes.
    auto start() -> void { read_all(); }

    /// \brief Returns the cache to serve to peers.
    /// \returns The cache; null if it is too old or this instance follows a peer.
    [[nodiscard]] auto cache_for_peers() const -> const feed_cache*;

    /// \brief Records that a peer reads the cache, so that it is kept as current as peers need.
    auto record_follower() -> void { asked_at_ = timers_->now(); }

    /// \brief Whether keys may be missing because of a recent store disruption.
    ///
    /// \detail A failed call to the store, expired history, or a disruption reported by the source
    ///         counts.
    [[nodiscard]] auto has_recent_disruption() const -> bool { return hold_deadline().has_value(); }

    /// \brief Returns the time since every change of the store was last known to have arrived.
    ///
    /// \detail A peer's own age counts; a full read of the store does not, since it may be stale.
    /// \returns The age; nothing before the first answered watch.
    [[nodiscard]] auto age() const -> std::optional<duration>;

    /// \brief Returns how long the cache may still be served to peers without news of the store.
    [[nodiscard]] auto serving_time_left() const -> duration;

    /// \brief Returns the time by the clock of ages.
    [[nodiscard]] auto uptime() const -> duration { return uptime_(); }

    /// \brief Ends a watch in progress, as peers know of a change that its source has not told.
    /// \detail If the store then tells nothing of the fresh prefix, all keys are read again: what a
    ///         watch left out is in no later one.
    auto suspect_source() -> void;

    /// \brief Handles that a peer's position is in a history of the store that is not known here.
    auto hear_era(std::uint64_t era) -> void;

    /// \brief Position up to which changes are here.
    [[nodiscard]] auto position() const noexcept -> feed_position { return cache_.position(); }

    /// \brief Returns what is known beyond the state of the store in an era.
    /// \returns Entries that the store has lost or has older, or all entries if that era is not
    ///          known here; nothing before the first full read.
    [[nodiscard]] auto known_beyond(std::uint64_t era) const -> std::optional<feed_page>;

    /// \brief How often the store has come back from an older copy since the start.
    [[nodiscard]] auto restorations() const noexcept -> std::size_t { return restorations_; }

    /// \brief Whether changes are read from a peer instead of the store.
    [[nodiscard]] auto follows_peer() const noexcept -> bool { return followed_peer_.has_value(); }

    /// \brief Sets the callback that runs after each change of the cache or of its availability.
    auto on_change(std::function<void()> callback) -> void { on_change_ = std::move(callback); }

private:
    auto follow_changes() -> void;
    auto read_all() -> void;
    auto read_page(const std::string& prefix, const std::string& after) -> void;
    auto on_page(const std::string& prefix, const feed_reply& reply) -> void;
    /// \brief Records where a page that others follow ends.
    /// \returns Whether the list advances: no earlier page of it ended there.
    [[nodiscard]] auto record_page_end(const feed_page& page) -> bool;
    auto abandon_list(const std::string& prefix, const feed_page& page) -> void;
    auto finish_full_read() -> void;
    /// \brief Whether an answer of another history was dealt with, and nothing else is to be done.
    [[nodiscard]] auto diverts_list(const feed_page& page) -> bool;
    [[nodiscard]] auto diverts_watch(const feed_page& page) -> bool;
    /// \brief Returns the era of a page; one that states none is of the era that is known.
    [[nodiscard]] auto era_of(const feed_page& page) const -> std::uint64_t;
    auto read_restored() -> void;
    /// \param known   Revision up to which changes were here when the comparison began.
    /// \param current Whether the page can't be stale.
    auto on_compared(const feed_page& page, std::uint64_t known, bool current) -> void;
    /// \brief Whether the store's revisions went back though it states no other era.
    [[nodiscard]] auto went_back(feed_position list) const -> bool;
    auto enter_history(feed_position list) -> void;
    /// \brief Holds what was known until lost entries have been written again.
    /// \param since_return Longest time for which the store may have been back.
    auto begin_hold(duration since_return) -> void;
    auto end_hold() -> void;
    /// \brief Asks peers for what they know beyond the store, one after the other.
    auto ask_known() -> void;
    auto on_known(const feed_reply& reply) -> void;
    auto use_known() -> void;
    auto watch() -> void;
    auto on_watch(const feed_reply& reply) -> void;
    auto on_failed_watch(feed_failure failure) -> void;
    /// \brief Asks the store for its revision, then watches on.
    auto compare_revision() -> void;
    auto on_stated_revision(std::uint64_t revision) -> void;
    auto watch_after_comparison() -> void;
    auto apply(const feed_page& page) -> void;
    /// \brief Whether a watch of the store left changes out, as far as revisions tell.
    [[nodiscard]] auto finds_gap(const feed_reply& reply) -> bool;
    /// \brief Whether the store has stated a revision beyond what is here.
    [[nodiscard]] auto lacks_changes() const -> bool;
    [[nodiscard]] auto may_read_untold() const -> bool;
    /// \param told What the watch told nevertheless.
    auto read_untold_changes(const feed_page& told) -> void;
    auto schedule_next_untold_read(bool brought_changes) -> void;
    /// \brief Whether any of the keys that must not be stale differs from what is here.
    [[nodiscard]] auto differs_from_cache(const std::map<std::string, feed_event>& items) const
        -> bool;
    auto notify_listener(const feed_event& event) -> bool;
    /// \brief Whether the source is suspected and the page does not clear it.
    [[nodiscard]] auto left_out_change(const feed_page& page) -> bool;
    auto select_source() -> feed_source&;
    [[nodiscard]] auto current_source() const -> feed_source&;
    auto record_failure(feed_failure failure) -> void;
    auto log_failure(feed_failure failure) -> void;
    [[nodiscard]] static auto failure_in(const feed_reply& reply) -> feed_failure;
    auto record_contact(bool recent_disruption) -> void;
    auto begin_call(milliseconds wait) -> void;
    auto record_age(const feed_page& page) -> void;
    /// \brief Whether the store may have changes behind those of a page.
    [[nodiscard]] auto has_more(const feed_page& page) const -> bool;
    /// \brief Whether the store may have more changes up to now than the page holds.
    [[nodiscard]] auto may_be_cut(const feed_page& page) const -> bool;
    /// \brief Returns a time at which every change that the page does not hold had not been made.
    [[nodiscard]] auto proved_time(const feed_page& page) const -> duration;
    [[nodiscard]] auto age_text() const -> std::string;
    auto schedule_after(duration delay, void (feed_subscriber::*task)()) -> void;
    [[nodiscard]] auto is_too_old(const feed_page& page) const -> bool;
    [[nodiscard]] auto watch_wait() const -> milliseconds;
    [[nodiscard]] auto is_followed() const -> bool;
    [[nodiscard]] auto retry_delay() const -> duration;
    [[nodiscard]] auto hold_deadline() const -> std::optional<time_point>;

    timer_queue* timers_;
    feed_source* store_;
    peer_source_lookup find_peer_source_;
    member_provider members_;
    member self_;
    feed_listener* listener_;
    std::string fresh_prefix_;
    feed_limits limits_;
    uptime_clock uptime_;
    feed_source_selector selector_;
    feed_cache cache_;
    std::function<void()> on_change_;
    std::map<std::string, feed_event> pending_items_;
    std::uint64_t pending_revision_ = 0;
    std::optional<std::uint64_t> pending_era_; ///< History of the list in progress.
    bool list_is_current_ = false;    ///< Whether no page of the list in progress may be stale.
    std::set<std::string> page_ends_; ///< Last keys of the pages of the list in progress.
    std::optional<member> followed_peer_;
    std::optional<time_point> last_disruption_;
    std::optional<time_point> asked_at_; ///< When a peer last read the cache.
    std::size_t consecutive_failures_ = 0;
    time_point failure_logged_at_;
    std::optional<duration> up_to_date_at_; ///< When all changes were last known to be here.
    duration call_began_at_{0};             ///< Start of the latest call, by the clock of ages.
    milliseconds call_wait_{0};             ///< Time after which the source answers it in any case.
    bool watching_ = false; ///< Whether a watch is in progress that nothing suspects.
    bool must_read_current_ = false;
    std::uint64_t stated_revision_ = 0; ///< Latest revision that the store stated for itself.
    bool catching_up_ = false; ///< Whether watches follow each other until one tells nothing.
    std::optional<duration> proved_before_watch_; ///< `up_to_date_at_` before the latest watch.
    bool comparison_outstanding_ = false;         ///< Whether a comparison has no answer yet.
    bool comparing_ = false;           ///< Whether the next watch waits for a comparison.
    bool watching_again_ = false;      ///< Whether the watch is ended to begin another at once.
    bool reading_untold_ = false;      ///< Whether a full read for untold changes is due.
    time_point next_untold_read_;      ///< Earliest start of the next such read.
    duration untold_read_interval_{0}; ///< Least time between two such reads.
    restored_entries restored_;
    time_point hold_ends_at_;       ///< End of the hold of entries of targets.
    time_point order_hold_ends_at_; ///< End of the hold of the operators' entries.
    /// Start of the latest call of the store that failed, by the clock of ages.
    std::optional<duration> failed_call_began_at_;
    bool ended_by_suspicion_ = false; ///< Whether the latest call was ended here.
    /// Time until which the earlier history was current for sure, once it is left.
    std::optional<duration> left_history_at_;
    std::size_t restorations_ = 0;
    std::uint64_t heard_era_ = 0;       ///< Highest era that a peer has stated.
    bool restored_meanwhile_ = false;   ///< Whether all is to be read in place of the next watch.
    bool compares_currently_ = false;   ///< Whether the next comparison may not be stale.
    bool has_asked_known_ = false;      ///< Whether peers were asked for what they know.
    std::set<std::string> asked_known_; ///< Peers that were asked.
    std::vector<feed_event> known_;     ///< What a peer knows beyond the store.
    std::optional<time_point> asking_known_since_;
    bool suspected_ = false; ///< Whether peers know of a change that no answer has told since.
};

} // namespace knapweedchute
