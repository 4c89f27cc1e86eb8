#include <knapweedchute/admission/workspace_queue.hpp>

#include <algorithm>
#include <cmath>

namespace knapweedchute {
namespace {

/// Arrivals and admissions decay to 1/e of their number in this time.
constexpr auto decay_time = std::chrono::duration<double>(2.0);
/// Counts decay in steps of at least this time: a step takes linear time in the workspaces.
constexpr auto decay_interval = milliseconds{500};
/// A workspace without waiting requests whose arrivals have decayed below this is forgotten.
constexpr auto forgotten_below = 0.01;
/// State of the workspaces beyond the limit; no header can carry this name.
const auto shared_name = std::string{"\n"};

} // namespace

auto workspace_queue::on_arrival(const std::string& workspace, time_point now) -> void
{
    decay(now);
    arrived_ += 1.0;
    change_share(share_name(workspace), [](auto& changed) { changed.arrived += 1.0; });
}

auto workspace_queue::on_admitted(const std::string& workspace) -> void
{
    admitted_ += 1.0;
    change_share(share_name(workspace), [](auto& changed) { changed.admitted += 1.0; });
}

auto workspace_queue::push(const waiting_request& request) -> void
{
    const auto at = place{request.latest_start, request.id};
    const auto& name = share_name(request.workspace);
    waiting_.emplace(at, entry{request, name});
    change_share(name, [&](auto& changed) { changed.waiting.insert(at); });
}

auto workspace_queue::pop() -> std::optional<waiting_request>
{
    if (waiting_.empty()) {
        return std::nullopt;
    }
    const auto& [lowest_part, lowest_start, starved] = *by_part_.begin();
    const auto part_of_all = admitted_ / std::max(arrived_, 1.0);
    const auto name = lowest_part < min_relative_share * part_of_all
                          ? starved
                          : std::get<std::string>(*by_admitted_.begin());
    auto request = take(waiting_.find(*shares_.at(name).waiting.begin()));
    admitted_ += 1.0;
    change_share(name, [](auto& changed) { changed.admitted += 1.0; });
    return request;
}

auto workspace_queue::remove(const waiting_request& request) -> bool
{
    const auto found = waiting_.find({request.latest_start, request.id});
    if (found == waiting_.end()) {
        return false;
    }
    std::ignore = take(found);
    return true;
}

auto workspace_queue::pop_expired(time_point now) -> std::optional<waiting_request>
{
    if (waiting_.empty() || waiting_.begin()->first.first > now) {
        return std::nullopt;
    }
    return take(waiting_.begin());
}

auto workspace_queue::size_of(const std::string& workspace) const -> std::size_t
{
    const auto* const found = find_share(workspace);
    return found == nullptr ? 0 : found->waiting.size();
}

auto workspace_queue::admission_share(const std::string& workspace) const -> double
{
    const auto* const found = find_share(workspace);
    const auto waits = found != nullptr && !found->waiting.empty();
    const auto equal_part = 1.0 / static_cast<double>(by_admitted_.size() + (waits ? 0 : 1));
    if (found == nullptr) {
        return equal_part;
    }
    const auto seen = admitted_ > 0.0 ? found->admitted / admitted_ : 0.0;
    const auto least = arrived_ > 0.0 ? min_relative_share * found->arrived / arrived_ : 0.0;
    return std::min(std::max({equal_part, seen, least}), 1.0);
}

auto workspace_queue::admitted_part(const share& counted) -> double
{
    return counted.admitted / std::max(counted.arrived, 1.0);
}

auto workspace_queue::share_name(const std::string& workspace) const -> const std::string&
{
    const auto own = shares_.size() < max_workspaces || shares_.contains(workspace);
    return own ? workspace : shared_name;
}

auto workspace_queue::find_share(const std::string& workspace) const -> const share*
{
    const auto found = shares_.find(share_name(workspace));
    return found == shares_.end() ? nullptr : &found->second;
}

template <typename Change>
auto workspace_queue::change_share(const std::string& name, Change change) -> void
{
    auto& changed = shares_[name];
    erase_ranks(name, changed);
    change(changed);
    insert_ranks(name, changed);
}

auto workspace_queue::insert_ranks(const std::string& name, const share& ranked) -> void
{
    if (!ranked.waiting.empty()) {
        const auto start = ranked.waiting.begin()->first;
        by_admitted_.emplace(ranked.admitted, start, name);
        by_part_.emplace(admitted_part(ranked), start, name);
    }
}

auto workspace_queue::erase_ranks(const std::string& name, const share& ranked) -> void
{
    if (!ranked.waiting.empty()) {
        const auto start = ranked.waiting.begin()->first;
        by_admitted_.erase({ranked.admitted, start, name});
        by_part_.erase({admitted_part(ranked), start, name});
    }
}

auto workspace_queue::take(std::map<place, entry>::iterator taken) -> waiting_request
{
    auto node = waiting_.extract(taken);
    change_share(node.mapped().share_name,
                 [&](auto& changed) { changed.waiting.erase(node.key()); });
    return std::move(node.mapped().request);
}

auto workspace_queue::decay(time_point now) -> void
{
    if (now - decayed_at_ < decay_interval) {
        return;
    }
    const auto elapsed = std::chrono::duration<double>(now - decayed_at_);
    const auto factor = std::exp(-elapsed / decay_time);
    decayed_at_ = now;
    arrived_ *= factor;
    admitted_ *= factor;
    by_admitted_.clear();
    by_part_.clear();
    for (auto& [name, decayed] : shares_) {
        decayed.arrived *= factor;
        decayed.admitted *= factor;
        insert_ranks(name, decayed);
    }
    std::erase_if(shares_, [](const auto& item) {
        return item.second.waiting.empty() && item.second.arrived < forgotten_below;
    });
}

} // namespace knapweedchute
