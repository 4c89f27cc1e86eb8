#include <knapweedchute/core/log.hpp>
#include <knapweedchute/feed/feed_subscriber.hpp>
#include <knapweedchute/membership/store_readers.hpp>

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

namespace knapweedchute {
namespace {

/// Watch timeout after a failure: short, because a call to an unavailable source hangs until its
/// timeout.
constexpr auto probe_watch_timeout = milliseconds{100};
/// Delay between a watch that returned changes and the next one: changes arrive in bursts, each
/// call is billed, and one call then returns a complete burst.
constexpr auto batching_delay = milliseconds{300};
constexpr auto base_retry_delay = milliseconds{100};
constexpr auto max_retry_delay = milliseconds{800};
/// Time after a disruption during which a missing entry may be a consequence of it.
constexpr auto disruption_window = milliseconds{4'000};
/// Time for which an instance counts as followed after a peer has asked it.
constexpr auto follower_memory = seconds{4};
/// Time between two lines that a source is still lost.
constexpr auto loss_reminder_interval = seconds{2};
/// The store's lists end after about 500 items; a watch's answer may, too.
constexpr auto max_proving_events = std::size_t{450};
/// Half of the encoded megabyte at which they also end: the next item may not have fitted.
constexpr auto max_proving_bytes = std::size_t{350'000};
const auto log_line = logger{"feed"};

} // namespace

feed_subscriber::feed_subscriber(timer_queue& timers, feed_source& store,
                                 peer_source_lookup find_peer_source, member_provider members,
                                 member self, feed_listener& listener, std::string fresh_prefix,
                                 feed_limits limits, uptime_clock uptime)
    : timers_{&timers}, store_{&store}, find_peer_source_{std::move(find_peer_source)},
      members_{std::move(members)}, self_{std::move(self)}, listener_{&listener},
      fresh_prefix_{std::move(fresh_prefix)}, limits_{limits}, uptime_{std::move(uptime)},
      restored_{[&listener](const auto& known, const auto& restored) {
          return listener.use_of_restored(known, restored);
      }}
{
}

auto feed_subscriber::cache_for_peers() const -> const feed_cache*
{
    const auto available = cache_.revision() > 0 && serving_time_left() > duration::zero();
    return available && !followed_peer_ ? &cache_ : nullptr;
}

auto feed_subscriber::age() const -> std::optional<duration>
{
    return up_to_date_at_ ? std::optional{uptime_() - *up_to_date_at_} : std::nullopt;
}

auto feed_subscriber::serving_time_left() const -> duration
{
    return limits_.max_age() - age().value_or(limits_.max_age());
}

auto feed_subscriber::read_all() -> void
{
    pending_items_.clear();
    pending_revision_ = 0;
    pending_era_.reset();
    list_is_current_ = must_read_current_;
    page_ends_.clear();
    read_page(fresh_prefix_, "");
}

auto feed_subscriber::read_page(const std::string& prefix, const std::string& after) -> void
{
    const auto allow_stale = prefix.empty() && !must_read_current_;
    begin_call(milliseconds{0});
    select_source().read(prefix, after, allow_stale,
                         [this, prefix](const auto& reply) { on_page(prefix, reply); });
}

auto feed_subscriber::on_page(const std::string& prefix, const feed_reply& reply) -> void
{
    if (reply.status != feed_read_status::done || is_too_old(reply.page)) {
        record_failure(failure_in(reply));
        schedule_after(retry_delay(), &feed_subscriber::read_all);
        return;
    }
    if (diverts_list(reply.page)) {
        return;
    }
    if (reply.page.truncated && !record_page_end(reply.page)) {
        abandon_list(prefix, reply.page);
        return;
    }
    record_contact(reply.page.recent_disruption);
    if (followed_peer_) {
        record_age(reply.page);
    }
    // The pages are not one snapshot: the watch starts from their oldest revision and thus repeats
    // the changes made while they were read.
    pending_revision_ = pending_revision_ == 0 ? reply.page.revision
                                               : std::min(pending_revision_, reply.page.revision);
    for (const auto& event : reply.page.events) {
        auto& item = pending_items_[event.key];
        if (event.revision >= item.revision) {
            item = event;
        }
    }
    if (reply.page.truncated) {
        read_page(prefix, reply.page.events.back().key);
    } else if (!prefix.empty()) {
        page_ends_.clear();
        read_page("", "");
    } else {
        finish_full_read();
    }
}

auto feed_subscriber::record_page_end(const feed_page& page) -> bool
{
    // A list whose pages all end at different keys ends, whatever the order of its keys.
    return !page.events.empty() && page_ends_.insert(page.events.back().key).second;
}

auto feed_subscriber::abandon_list(const std::string& prefix, const feed_page& page) -> void
{
    log_line.warning("List does not advance.",
                     {{"prefix", prefix},
                      {"key", page.events.empty() ? std::string{} : page.events.back().key}});
    record_failure(feed_failure::no_advance);
    // A peer that the store gives the whole list may have it.
    if (!followed_peer_) {
        selector_.record_store_failure(timers_->now());
    }
    schedule_after(max_retry_delay, &feed_subscriber::read_all);
}

auto feed_subscriber::finish_full_read() -> void
{
    const auto position = feed_position{pending_era_.value_or(0), pending_revision_};
    if (cache_.revision() == 0 && position.era > 0 && !has_asked_known_) {
        ask_known();
        return;
    }
    if (cache_.revision() == 0) {
        listener_->on_restored(position.era);
        use_known();
    } else if (position.era > cache_.position().era || went_back(position)) {
        enter_history(position);
    }
    must_read_current_ = false;
    restored_meanwhile_ = false;
    left_history_at_.reset();
    auto keys = std::set<std::string>{};
    for (const auto& [key, event] : pending_items_) {
        keys.insert(key);
        if (restored_.accept(event)) {
            std::ignore = listener_->on_value(event);
        }
    }
    restored_.complete(keys);
    listener_->on_complete_list(keys, hold_deadline());
    const auto brought_changes = differs_from_cache(pending_items_);
    cache_.reset(std::exchange(pending_items_, {}), position);
    catching_up_ = false;
    // A peer may lack the same changes.
    if (!followed_peer_) {
        suspected_ = false;
        stated_revision_ = 0;
        if (std::exchange(reading_untold_, false)) {
            schedule_next_untold_read(brought_changes);
        }
    }
    log_line.info("All read.", {{"revision", std::to_string(cache_.revision())},
                                {"keys", std::to_string(keys.size())},
                                {"from", followed_peer_ ? followed_peer_->instance : "store"}});
    follow_changes();
}

auto feed_subscriber::follow_changes() -> void
{
    if (on_change_) {
        on_change_();
    }
    watch();
}

auto feed_subscriber::watch() -> void
{
    auto& source = select_source();
    const auto wait = watch_wait();
    begin_call(wait);
    watching_ = true;
    source.watch(cache_.position(), wait, [this](const auto& reply) { on_watch(reply); });
}

auto feed_subscriber::watch_wait() const -> milliseconds
{
    const auto known_age = age();
    if (followed_peer_) {
        return known_age ? limits_.peer_watch(*known_age) : milliseconds{0};
    }
    if (consecutive_failures_ > 0 || selector_.store_failed()) {
        return probe_watch_timeout;
    }
    // After a full read, which may be stale, the first watch tells at once what is missing; so it
    // does where more is known to be there.
    if (!known_age || suspected_ || catching_up_ || lacks_changes()) {
        return milliseconds{0};
    }
    return is_followed() ? limits_.shared_watch(*known_age) : limits_.direct_watch(*known_age);
}

auto feed_subscriber::is_followed() const -> bool
{
    // Also one that nobody is assigned to is asked by instances that the store refuses.
    return has_followers(members_()) ||
           (asked_at_ && timers_->now() - *asked_at_ < follower_memory);
}

auto feed_subscriber::on_watch(const feed_reply& reply) -> void
{
    watching_ = false;
    const auto aborted = std::exchange(watching_again_, false);
    if (reply.status == feed_read_status::history_expired) {
        read_restored();
        return;
    }
    if (reply.status != feed_read_status::done || is_too_old(reply.page)) {
        if (std::exchange(restored_meanwhile_, false)) {
            read_restored();
        } else if (aborted) {
            watch();
        } else {
            on_failed_watch(failure_in(reply));
        }
        return;
    }
    if (diverts_watch(reply.page)) {
        return;
    }
    record_contact(reply.page.recent_disruption);
    const auto from_store = !followed_peer_;
    const auto left_out = left_out_change(reply.page);
    if (from_store && (finds_gap(reply) || left_out)) {
        read_untold_changes(reply.page);
        return;
    }
    const auto empty = reply.page.events.empty();
    const auto caught_up = empty && std::exchange(catching_up_, false);
    catching_up_ = from_store && reply.page.revision > cache_.revision() && has_more(reply.page);
    proved_before_watch_ = up_to_date_at_;
    if (!catching_up_) {
        record_age(reply.page);
    }
    apply(reply.page);
    if (from_store && empty && !caught_up) {
        compare_revision();
        return;
    }
    const auto at_once = catching_up_ || (empty && !caught_up);
    // The next answer is here before peers are turned away.
    const auto delay = std::clamp<duration>(serving_time_left() - limits_.answer_time(),
                                            duration::zero(), batching_delay);
    schedule_after(at_once ? duration::zero() : delay, &feed_subscriber::watch);
}

auto feed_subscriber::apply(const feed_page& page) -> void
{
    auto updates = page;
    std::erase_if(updates.events, [this](const auto& event) { return !notify_listener(event); });
    cache_.apply(updates);
    if (on_change_) {
        on_change_();
    }
}

auto feed_subscriber::on_failed_watch(feed_failure failure) -> void
{
    catching_up_ = false;
    record_failure(failure);
    // The current state is smaller than its history, and its pages are bounded.
    must_read_current_ = must_read_current_ || is_unusable_answer(failure);
    schedule_after(retry_delay(), is_unusable_answer(failure) ? &feed_subscriber::read_all
                                                              : &feed_subscriber::watch);
}

auto feed_subscriber::notify_listener(const feed_event& event) -> bool
{
    // What is in use here may be news to peers, who have the store's state.
    const auto known = cache_.items().contains(event.key) && !restored_.holds(event.key);
    if (!restored_.accept(event)) {
        return true;
    }
    if (event.deleted) {
        listener_->on_deletion(event.key, hold_deadline());
        return true;
    }
    return listener_->on_value(event) || !known;
}

auto feed_subscriber::select_source() -> feed_source&
{
    const auto previous_source = followed_peer_ ? followed_peer_->instance : std::string{};
    followed_peer_ = selector_.select_peer(members_(), self_, timers_->now());
    const auto selected_source = followed_peer_ ? followed_peer_->instance : std::string{};
    if (previous_source != selected_source) {
        log_line.info("Source chosen.",
                      {{"from", selected_source.empty() ? "store" : selected_source},
                       {"age_ms", age_text()}});
        // Peers that wait here are told at once that this instance follows one now.
        if (on_change_) {
            on_change_();
        }
    }
    auto& source = current_source();
    if (previous_source != selected_source || consecutive_failures_ > 0) {
        source.renew_connections();
    }
    return source;
}

auto feed_subscriber::current_source() const -> feed_source&
{
    return followed_peer_ ? find_peer_source_(*followed_peer_) : *store_;
}

auto feed_subscriber::suspect_source() -> void
{
    suspected_ = true;
    log_line.warning(
        "Source suspected.",
        {{"from", followed_peer_ ? followed_peer_->instance : "store"}, {"age_ms", age_text()}});
    if (std::exchange(watching_, false)) {
        ended_by_suspicion_ = true;
        current_source().abort_watch();
    }
}

auto feed_subscriber::failure_in(const feed_reply& reply) -> feed_failure
{
    return reply.status == feed_read_status::done ? feed_failure::too_old : reply.failure;
}

auto feed_subscriber::log_failure(feed_failure failure) -> void
{
    const auto now = timers_->now();
    const auto first = consecutive_failures_ == 0;
    if (!first && now - failure_logged_at_ < loss_reminder_interval) {
        return;
    }
    failure_logged_at_ = now;
    const logger::fields fields = {{"revision", std::to_string(cache_.revision())},
                                   {"from", followed_peer_ ? followed_peer_->instance : "store"},
                                   {"reason", std::string{to_string(failure)}},
                                   {"losses", std::to_string(consecutive_failures_ + 1)},
                                   {"age_ms", age_text()}};
    if (first) {
        log_line.warning("Source lost.", fields);
    } else {
        log_line.warning("Source still lost.", fields);
    }
}

auto feed_subscriber::record_failure(feed_failure failure) -> void
{
    log_failure(failure);
    consecutive_failures_ += 1;
    if (followed_peer_) {
        selector_.record_failure(followed_peer_->instance, failure, timers_->now());
    } else {
        if (!ended_by_suspicion_) {
            failed_call_began_at_ = call_began_at_;
        }
        // The store is well if it answers, though the answer can't be used.
        const auto answered =
            failure == feed_failure::too_large || failure == feed_failure::unreadable;
        last_disruption_ = answered ? last_disruption_ : timers_->now();
        // One lost answer does not turn followers away; the store is called once more first.
        if (consecutive_failures_ > 1 || selector_.store_failed()) {
            selector_.record_store_failure(timers_->now());
        }
    }
    if (on_change_) {
        on_change_();
    }
}

auto feed_subscriber::record_contact(bool recent_disruption) -> void
{
    if (consecutive_failures_ > 0) {
        log_line.info("Source regained.", {{"losses", std::to_string(consecutive_failures_)}});
    }
    consecutive_failures_ = 0;
    if (followed_peer_) {
        selector_.record_contact(followed_peer_->instance);
    } else {
        selector_.record_store_contact();
    }
    if (recent_disruption) {
        last_disruption_ = timers_->now();
    }
}

auto feed_subscriber::is_too_old(const feed_page& page) const -> bool
{
    return followed_peer_ &&
           milliseconds{static_cast<std::int64_t>(page.age_ms)} >= limits_.max_age();
}

auto feed_subscriber::begin_call(milliseconds wait) -> void
{
    ended_by_suspicion_ = false;
    call_began_at_ = uptime_();
    call_wait_ = wait;
}

auto feed_subscriber::record_age(const feed_page& page) -> void
{
    if (limits_.proved() && !may_be_cut(page)) {
        up_to_date_at_ = std::max(up_to_date_at_.value_or(duration::min()), proved_time(page));
    }
    if (limits_.proved()) {
        return;
    }
    // An answer may have been held up on its way or by a pause of this process. One with changes
    // was sent at some time after the call, one without them when the wait was over.
    const auto latest = call_began_at_ + call_wait_;
    const auto proved_at = page.events.empty() ? std::min(uptime_(), latest) : call_began_at_;
    up_to_date_at_ = proved_at - milliseconds{page.age_ms};
}

auto feed_subscriber::has_more(const feed_page& page) const -> bool
{
    // Changes that are told without any wait may be a part of those that had come together.
    const auto had_waited = uptime_() - call_began_at_ >= limits_.answer_time();
    return !had_waited || may_be_cut(page) || stated_revision_ > page.revision;
}

auto feed_subscriber::may_be_cut(const feed_page& page) const -> bool
{
    const auto bytes = std::accumulate(
        page.events.begin(), page.events.end(), std::size_t{0},
        [](std::size_t sum, const auto& event) { return sum + event.value.size(); });
    return !followed_peer_ && (page.truncated || page.events.size() >= max_proving_events ||
                               bytes >= max_proving_bytes);
}

auto feed_subscriber::proved_time(const feed_page& page) const -> duration
{
    // A peer states its age as of the arrival of the call, the store holds a watch without changes
    // for its whole wait; anything else may have been stated as soon as the call had begun.
    if (followed_peer_) {
        return call_began_at_ - milliseconds{static_cast<std::int64_t>(page.age_ms)};
    }
    const auto waited = page.events.empty() && uptime_() - call_began_at_ >= call_wait_;
    return call_began_at_ + (waited ? call_wait_ : milliseconds{0});
}

auto feed_subscriber::age_text() const -> std::string
{
    const auto known = age();
    return known ? std::to_string(std::chrono::duration_cast<milliseconds>(*known).count())
                 : "unknown";
}

auto feed_subscriber::schedule_after(duration delay, void (feed_subscriber::*task)()) -> void
{
    timers_->at(timers_->now() + delay, [this, task] { (this->*task)(); });
}

auto feed_subscriber::retry_delay() const -> duration
{
    // A failed peer is avoided now, and so may the store be: then the retry uses another source.
    if (followed_peer_ || selector_.select_peer(members_(), self_, timers_->now())) {
        return duration::zero();
    }
    const auto doublings = std::min<std::size_t>(consecutive_failures_, 3);
    return std::min<duration>(base_retry_delay * (1U << doublings), max_retry_delay);
}

auto feed_subscriber::hold_deadline() const -> std::optional<time_point>
{
    const auto now = timers_->now();
    const auto disrupted = last_disruption_ && now - *last_disruption_ < disruption_window;
    return disrupted ? std::optional{now + rewrite_time} : std::nullopt;
}

} // namespace knapweedchute
