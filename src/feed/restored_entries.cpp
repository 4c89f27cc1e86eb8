#include <knapweedchute/feed/restored_entries.hpp>

#include <utility>

namespace knapweedchute {

auto restored_entries::compare(entries known, const entries& restored) -> void
{
    for (auto& [key, entry] : held_) {
        known[key] = std::move(entry.known);
    }
    held_.clear();
    for (auto& [key, last] : known) {
        const auto found = restored.find(key);
        const auto now = found == restored.end() ? feed_event{key, {}, 0, true} : found->second;
        if (last.deleted == now.deleted && last.value == now.value) {
            continue;
        }
        const auto use = decide_(last, now);
        if (use != restored_use::at_once) {
            held_[key] = {std::move(last), now, use};
        }
    }
}

auto restored_entries::accept(const feed_event& state) -> bool
{
    const auto held = held_.find(state.key);
    if (held == held_.end()) {
        return true;
    }
    if (state == held->second.restored ||
        (!state.deleted && decide_(held->second.known, state) == restored_use::once_written)) {
        return false;
    }
    held_.erase(held);
    return true;
}

auto restored_entries::end_hold(const std::function<bool(const std::string& key)>& ends)
    -> std::vector<std::string>
{
    auto released = std::vector<std::string>{};
    for (const auto& [key, entry] : held_) {
        if (entry.use == restored_use::after_hold && ends(key)) {
            released.push_back(key);
        }
    }
    for (const auto& key : released) {
        held_.erase(key);
    }
    return released;
}

auto restored_entries::complete(std::set<std::string>& keys) const -> void
{
    for (const auto& [key, entry] : held_) {
        if (entry.known.deleted) {
            keys.erase(key);
        } else {
            keys.insert(key);
        }
    }
}

auto restored_entries::known() const -> std::vector<feed_event>
{
    auto events = std::vector<feed_event>{};
    for (const auto& [key, entry] : held_) {
        events.push_back(entry.known);
    }
    return events;
}

} // namespace knapweedchute
