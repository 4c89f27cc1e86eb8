// Member functions of feed_subscriber that follow the store into another history.
#include <knapweedchute/core/log.hpp>
#include <knapweedchute/feed/feed_subscriber.hpp>

#include <algorithm>
#include <utility>

namespace knapweedchute {
namespace {

/// Time for which an instance that starts looks for a peer, and for answers of a few of them.
constexpr auto known_wait = milliseconds{400};
constexpr auto known_retry_interval = milliseconds{50};
const auto log_line = logger{"feed"};

} // namespace

auto feed_subscriber::hear_era(std::uint64_t era) -> void
{
    if (era > std::max(heard_era_, cache_.position().era)) {
        heard_era_ = era;
        suspect_source();
    }
}

auto feed_subscriber::era_of(const feed_page& page) const -> std::uint64_t
{
    // A peer of the release before follows one history only, which may not be this one.
    const auto unknown = followed_peer_ && restorations_ > 0;
    return page.era.value_or(unknown ? 0 : cache_.position().era);
}

auto feed_subscriber::diverts_list(const feed_page& page) -> bool
{
    const auto era = era_of(page);
    const auto known = std::max(cache_.position().era, pending_era_.value_or(0));
    if (era < known) {
        must_read_current_ = true;
        record_failure(feed_failure::older_era);
        schedule_after(retry_delay(), &feed_subscriber::read_all);
        return true;
    }
    const auto begun_before = pending_era_ && era > *pending_era_;
    const auto may_be_stale = cache_.revision() > 0 && era > cache_.position().era &&
                              !followed_peer_ && !list_is_current_;
    if (begun_before || may_be_stale) {
        read_restored();
        return true;
    }
    pending_era_ = era;
    return false;
}

auto feed_subscriber::diverts_watch(const feed_page& page) -> bool
{
    const auto era = era_of(page);
    if (era < cache_.position().era) {
        on_failed_watch(feed_failure::older_era);
        return true;
    }
    if (era > cache_.position().era) {
        read_restored();
        return true;
    }
    return false;
}

auto feed_subscriber::read_restored() -> void
{
    restored_meanwhile_ = false;
    const auto current_at = std::max(up_to_date_at_, failed_call_began_at_);
    left_history_at_ = left_history_at_ ? left_history_at_ : current_at;
    last_disruption_ = timers_->now();
    must_read_current_ = true;
    read_all();
}

auto feed_subscriber::on_compared(const feed_page& page, std::uint64_t known, bool current) -> void
{
    const auto era = era_of(page);
    if (followed_peer_ || era < cache_.position().era) {
        return;
    }
    const auto lower = era == cache_.position().era && page.revision < known;
    compares_currently_ = lower && !current && compares_currently_;
    if (era == cache_.position().era && !(lower && current)) {
        on_stated_revision(page.revision);
        return;
    }
    restored_meanwhile_ = true;
    // A late answer: the watch that has begun meanwhile follows the earlier history.
    if (!comparing_ && watching_) {
        watching_again_ = true;
        store_->abort_watch();
    }
}

auto feed_subscriber::went_back(feed_position list) const -> bool
{
    return !followed_peer_ && list_is_current_ && list.era == cache_.position().era &&
           list.revision < cache_.revision();
}

auto feed_subscriber::enter_history(feed_position list) -> void
{
    const auto left = cache_.position();
    restorations_ += 1;
    stated_revision_ = 0;
    compares_currently_ = false;
    restored_.compare(cache_.last_states(), pending_items_);
    listener_->on_restored(list.era);
    const auto now = uptime_();
    begin_hold(now - left_history_at_.value_or(now));
    log_line.warning("Store restored.", {{"era", std::to_string(list.era)},
                                         {"revision", std::to_string(list.revision)},
                                         {"earlier_era", std::to_string(left.era)},
                                         {"earlier_revision", std::to_string(left.revision)},
                                         {"held", std::to_string(restored_.size())},
                                         {"age_ms", age_text()}});
}

auto feed_subscriber::begin_hold(duration since_return) -> void
{
    const auto left = restored_limit - since_return;
    const auto hold = std::clamp<duration>(left, min_rewrite_time, rewrite_time);
    const auto order_hold = std::clamp<duration>(left, min_order_rewrite_time, rewrite_time);
    hold_ends_at_ = timers_->now() + hold;
    order_hold_ends_at_ = timers_->now() + order_hold;
    schedule_after(hold, &feed_subscriber::end_hold);
    schedule_after(order_hold, &feed_subscriber::end_hold);
}

auto feed_subscriber::end_hold() -> void
{
    const auto now = timers_->now();
    const auto released = restored_.end_hold([&](const auto& key) {
        return now >= (key.starts_with(fresh_prefix_) ? order_hold_ends_at_ : hold_ends_at_);
    });
    for (const auto& key : released) {
        const auto item = cache_.items().find(key);
        if (item == cache_.items().end()) {
            listener_->on_deletion(key, std::nullopt);
        } else {
            std::ignore = listener_->on_value(item->second);
        }
    }
    log_line.info("Time for lost entries is over.", {{"released", std::to_string(released.size())},
                                                     {"held", std::to_string(restored_.size())}});
}

auto feed_subscriber::known_beyond(std::uint64_t era) const -> std::optional<feed_page>
{
    if (cache_.revision() == 0) {
        return std::nullopt;
    }
    auto states =
        cache_.position().era < era ? cache_.last_states() : std::map<std::string, feed_event>{};
    for (auto& state : restored_.known()) {
        states[state.key] = std::move(state);
    }
    auto page = feed_page{};
    page.revision = cache_.revision();
    page.era = cache_.position().era;
    for (auto& [key, state] : states) {
        page.events.push_back(std::move(state));
    }
    return page;
}

auto feed_subscriber::ask_known() -> void
{
    const auto now = timers_->now();
    const auto since = asking_known_since_.value_or(now);
    asking_known_since_ = since;
    if (now - since >= known_wait) {
        has_asked_known_ = true;
        finish_full_read();
        return;
    }
    const auto members = members_();
    const auto peer = std::find_if(members.begin(), members.end(), [this](const auto& known) {
        return known.instance != self_.instance && known.serving() &&
               !asked_known_.contains(known.instance);
    });
    if (peer == members.end()) {
        schedule_after(known_retry_interval, &feed_subscriber::ask_known);
        return;
    }
    asked_known_.insert(peer->instance);
    find_peer_source_(*peer).read_known(pending_era_.value_or(0),
                                        [this](const auto& reply) { on_known(reply); });
}

auto feed_subscriber::on_known(const feed_reply& reply) -> void
{
    if (reply.status != feed_read_status::done) {
        ask_known();
        return;
    }
    if (reply.page.era.value_or(0) > pending_era_.value_or(0)) {
        read_restored();
        return;
    }
    has_asked_known_ = true;
    known_ = reply.page.events;
    finish_full_read();
}

auto feed_subscriber::use_known() -> void
{
    if (known_.empty()) {
        return;
    }
    auto states = std::map<std::string, feed_event>{};
    for (auto& state : std::exchange(known_, {})) {
        auto& entry = states[state.key];
        entry = std::move(state);
    }
    restored_.compare(std::move(states), pending_items_);
    const auto era = pending_era_.value_or(0);
    listener_->on_restored(era - 1);
    for (const auto& state : restored_.known()) {
        if (!state.deleted) {
            std::ignore = listener_->on_value(state);
        }
    }
    listener_->on_restored(era);
    begin_hold(duration::zero());
    log_line.info("Entries known to peers.",
                  {{"era", std::to_string(era)}, {"held", std::to_string(restored_.size())}});
}

} // namespace knapweedchute
