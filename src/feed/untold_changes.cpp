// Member functions of feed_subscriber that find what the store's watches leave out.
#include <knapweedchute/core/log.hpp>
#include <knapweedchute/feed/feed_subscriber.hpp>

#include <algorithm>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>

namespace knapweedchute {
namespace {

/// Time until a full read for untold changes may be repeated. Doubles up to the second value while
/// they bring nothing, as the store may count revisions that no change has.
constexpr auto min_untold_read_interval = seconds{2};
constexpr auto max_untold_read_interval = seconds{60};
/// Follows every key that instances use.
constexpr auto after_last_key = std::string_view{"~"};
const auto log_line = logger{"feed"};

/// Whether revisions are missing between the changes of all keys.
auto has_gap(const std::vector<feed_event>& changes, std::uint64_t revision) -> bool
{
    auto told = std::set<std::uint64_t>{};
    for (const auto& change : changes) {
        told.insert(change.revision);
    }
    return std::any_of(told.begin(), told.end(), [&revision](auto next) {
        const auto missing = next > revision + 1;
        revision = std::max(revision, next);
        return missing;
    });
}

} // namespace

auto feed_subscriber::compare_revision() -> void
{
    // A stale page behind the last key states the revision at a low price; after a disruption it
    // could hide for seconds what was lost.
    const auto allow_stale = !has_recent_disruption() && !compares_currently_;
    if (std::exchange(comparison_outstanding_, true)) {
        schedule_after(duration::zero(), &feed_subscriber::watch);
        return;
    }
    comparing_ = true;
    store_->read(fresh_prefix_, fresh_prefix_ + std::string{after_last_key}, allow_stale,
                 [this, allow_stale, known = cache_.revision()](const auto& reply) {
                     comparison_outstanding_ = false;
                     if (reply.status == feed_read_status::done) {
                         on_compared(reply.page, known, !allow_stale);
                     }
                     watch_after_comparison();
                 });
    // A silent connection must not add to the time that a lost watch takes.
    schedule_after(limits_.answer_time(), &feed_subscriber::watch_after_comparison);
}

auto feed_subscriber::on_stated_revision(std::uint64_t revision) -> void
{
    stated_revision_ = std::max(stated_revision_, revision);
    if (!followed_peer_ && lacks_changes()) {
        up_to_date_at_ = proved_before_watch_;
    }
    // A late answer: the watch that has begun meanwhile may wait in vain.
    if (!comparing_ && watching_ && !followed_peer_ && lacks_changes()) {
        watching_again_ = true;
        store_->abort_watch();
    }
}

auto feed_subscriber::watch_after_comparison() -> void
{
    if (std::exchange(comparing_, false)) {
        const auto restored = std::exchange(restored_meanwhile_, false);
        schedule_after(duration::zero(),
                       restored ? &feed_subscriber::read_restored : &feed_subscriber::watch);
    }
}

auto feed_subscriber::finds_gap(const feed_reply& reply) -> bool
{
    stated_revision_ = std::max(stated_revision_, reply.stated_revision);
    compares_currently_ = compares_currently_ ||
                          (reply.stated_revision > 0 && reply.stated_revision < cache_.revision());
    const auto& events = reply.page.events;
    return events.empty() ? lacks_changes()
                          : may_read_untold() && has_gap(events, cache_.revision());
}

auto feed_subscriber::lacks_changes() const -> bool
{
    return may_read_untold() && stated_revision_ > cache_.revision();
}

auto feed_subscriber::may_read_untold() const -> bool
{
    return timers_->now() >= next_untold_read_;
}

auto feed_subscriber::left_out_change(const feed_page& page) -> bool
{
    const auto told =
        std::any_of(page.events.begin(), page.events.end(),
                    [this](const auto& event) { return event.key.starts_with(fresh_prefix_); });
    // A peer that lacks the change suspects its own source.
    return !followed_peer_ && std::exchange(suspected_, false) && !told;
}

auto feed_subscriber::read_untold_changes(const feed_page& told) -> void
{
    // What was told is in use at once; peers are told all differences once everything is read.
    for (const auto& event : told.events) {
        std::ignore = notify_listener(event);
    }
    log_line.warning("Changes not told.", {{"revision", std::to_string(cache_.revision())},
                                           {"stated", std::to_string(stated_revision_)},
                                           {"age_ms", age_text()}});
    reading_untold_ = true;
    must_read_current_ = true;
    read_all();
}

auto feed_subscriber::schedule_next_untold_read(bool brought_changes) -> void
{
    untold_read_interval_ =
        brought_changes ? duration{min_untold_read_interval}
                        : std::clamp<duration>(untold_read_interval_ * 2, min_untold_read_interval,
                                               max_untold_read_interval);
    next_untold_read_ = timers_->now() + untold_read_interval_;
}

auto feed_subscriber::differs_from_cache(const std::map<std::string, feed_event>& items) const
    -> bool
{
    const auto& known = cache_.items();
    const auto end = fresh_prefix_ + std::string{after_last_key};
    return !std::equal(known.lower_bound(fresh_prefix_), known.lower_bound(end),
                       items.lower_bound(fresh_prefix_), items.lower_bound(end));
}

} // namespace knapweedchute
