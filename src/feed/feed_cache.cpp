#include <knapweedchute/feed/feed_cache.hpp>

#include <algorithm>
#include <utility>

namespace knapweedchute {

auto feed_cache::reset(std::map<std::string, feed_event> items, feed_position position) -> void
{
    const auto revision = position.revision;
    const auto same_era = position.era == std::exchange(era_, position.era);
    replaced_up_to_ =
        same_era ? std::max(replaced_up_to_, revision < revision_ ? revision_ : 0) : 0;
    if (same_era && revision_ > 0 && revision > revision_) {
        retain_differences(items, revision);
    } else if (!same_era || revision != revision_) {
        changes_.clear();
        newest_changes_.clear();
        history_start_ = revision;
    }
    // A state read in several pages holds changes after the revision up to which it is complete.
    // The source repeats them, but the listener finds nothing new in them then.
    for (const auto& [key, event] : items) {
        if (event.revision > revision) {
            retain(event.revision, event);
        }
    }
    drop_oldest_changes();
    revision_ = revision;
    items_ = std::move(items);
}

auto feed_cache::retain_differences(const std::map<std::string, feed_event>& items,
                                    std::uint64_t revision) -> void
{
    // Peers know the state at the earlier revision; the new one brings them all differences.
    for (const auto& [key, known] : items_) {
        if (!items.contains(key)) {
            retain(revision, feed_event{key, {}, revision, true});
        }
    }
    for (const auto& [key, event] : items) {
        const auto known = items_.find(key);
        if (known == items_.end() || known->second.revision != event.revision) {
            retain(revision, event);
        }
    }
    drop_oldest_changes();
}

auto feed_cache::retain(std::uint64_t revision, const feed_event& change) -> void
{
    const auto added = changes_.emplace(revision, change);
    const auto [known, first] = newest_changes_.try_emplace(change.key, added);
    if (!first) {
        changes_.erase(std::exchange(known->second, added));
    }
}

auto feed_cache::drop_oldest_changes() -> void
{
    while (changes_.size() > max_changes) {
        history_start_ = changes_.begin()->first;
        newest_changes_.erase(changes_.begin()->second.key);
        changes_.erase(changes_.begin());
    }
}

auto feed_cache::apply(const feed_page& page) -> void
{
    for (const auto& event : page.events) {
        if (event.revision <= revision_) {
            continue;
        }
        retain(event.revision, event);
        if (event.deleted) {
            items_.erase(event.key);
        } else {
            items_[event.key] = event;
        }
    }
    revision_ = std::max(revision_, page.revision);
    drop_oldest_changes();
}

auto feed_cache::changes_after(feed_position after) const -> std::optional<feed_page>
{
    const auto replaced = after.revision > revision_ && after.revision <= replaced_up_to_;
    if (revision_ == 0 || after.era != era_ || after.revision < history_start_ || replaced) {
        return std::nullopt;
    }
    auto page = feed_page{};
    page.revision = std::max(revision_, after.revision);
    page.era = era_;
    for (auto change = changes_.upper_bound(after.revision); change != changes_.end(); ++change) {
        page.events.push_back(change->second);
    }
    return page;
}

auto feed_cache::full_state() const -> feed_page
{
    auto page = feed_page{};
    page.revision = revision_;
    page.era = era_;
    for (const auto& [key, event] : items_) {
        page.events.push_back(event);
    }
    return page;
}

auto feed_cache::last_states() const -> std::map<std::string, feed_event>
{
    auto states = items_;
    for (const auto& [revision, change] : changes_) {
        if (change.deleted) {
            states.try_emplace(change.key, change);
        }
    }
    return states;
}

} // namespace knapweedchute
