#include <knapweedchute/feed/feed_cache.hpp>

#include <algorithm>

namespace knapweedchute {

auto feed_cache::reset(const std::map<std::string, feed_event>& items, std::uint64_t revision)
    -> void
{
    items_ = items;
    changes_.clear();
    history_start_ = revision;
    revision_ = revision;
}

auto feed_cache::apply(const feed_page& page) -> void
{
    for (const auto& event : page.events) {
        if (event.revision <= revision_) {
            continue;
        }
        changes_.emplace(event.revision, event);
        if (event.deleted) {
            items_.erase(event.key);
        } else {
            items_[event.key] = event;
        }
    }
    revision_ = std::max(revision_, page.revision);
    while (changes_.size() > max_changes) {
        history_start_ = changes_.begin()->first;
        changes_.erase(changes_.begin());
    }
}

auto feed_cache::changes_after(std::uint64_t after) const -> std::optional<feed_page>
{
    if (revision_ == 0 || after < history_start_) {
        return std::nullopt;
    }
    auto page = feed_page{};
    page.revision = std::max(revision_, after);
    for (auto change = changes_.upper_bound(after); change != changes_.end(); ++change) {
        page.events.push_back(change->second);
    }
    return page;
}

auto feed_cache::full_state() const -> feed_page
{
    auto page = feed_page{};
    page.revision = revision_;
    for (const auto& [key, event] : items_) {
        page.events.push_back(event);
    }
    return page;
}

} // namespace knapweedchute
