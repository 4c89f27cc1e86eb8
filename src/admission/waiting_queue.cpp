#include <knapweedchute/admission/waiting_queue.hpp>

#include <algorithm>
#include <cmath>

namespace knapweedchute {
namespace {

/// Arrivals and admissions decay to 1/e of their number in this time.
constexpr auto decay_time = std::chrono::duration<double>(2.0);
/// Counts decay in steps of at least this time.
constexpr auto decay_interval = milliseconds{50};
/// A kind without waiting requests whose arrivals have decayed below this number is forgotten.
constexpr auto forgotten_below = 0.01;

} // namespace

auto waiting_queue::on_arrival(const std::string& kind, int priority, time_point now,
                               const std::string& workspace) -> void
{
    decay(now);
    auto& state = kinds_[kind];
    state.weight = std::pow(priority_weight, priority);
    state.arrived += 1.0;
    state.waiting.on_arrival(workspace, now);
}

auto waiting_queue::on_admitted(const std::string& kind, time_point now,
                                const std::string& workspace) -> void
{
    decay(now);
    auto& state = kinds_[kind];
    state.admitted += 1.0;
    state.waiting.on_admitted(workspace);
}

auto waiting_queue::push(const waiting_request& request) -> void
{
    kinds_[request.kind].waiting.push(request);
    size_ += 1;
}

auto waiting_queue::pop(time_point now) -> std::optional<waiting_request>
{
    auto next = kinds_.end();
    auto lowest_share = 0.0;
    for (auto kind = kinds_.begin(); kind != kinds_.end(); ++kind) {
        const auto& state = kind->second;
        const auto share = state.admitted / (std::max(state.arrived, 1.0) * state.weight);
        if (state.waiting.size() > 0 && (next == kinds_.end() || share < lowest_share)) {
            next = kind;
            lowest_share = share;
        }
    }
    if (next == kinds_.end()) {
        return std::nullopt;
    }
    size_ -= 1;
    auto request = next->second.waiting.pop();
    decay(now);
    kinds_[request->kind].admitted += 1.0;
    return request;
}

auto waiting_queue::remove(const waiting_request& request) -> bool
{
    const auto kind = kinds_.find(request.kind);
    const auto removed = kind != kinds_.end() && kind->second.waiting.remove(request);
    size_ -= removed ? 1 : 0;
    return removed;
}

auto waiting_queue::pop_expired(time_point now) -> std::optional<waiting_request>
{
    for (auto& [name, kind] : kinds_) {
        if (auto expired = kind.waiting.pop_expired(now)) {
            size_ -= 1;
            return expired;
        }
    }
    return std::nullopt;
}

auto waiting_queue::size_of(const std::string& kind) const -> std::size_t
{
    const auto found = kinds_.find(kind);
    return found == kinds_.end() ? 0 : found->second.waiting.size();
}

auto waiting_queue::size_of(const std::string& kind, const std::string& workspace) const
    -> std::size_t
{
    const auto found = kinds_.find(kind);
    return found == kinds_.end() ? 0 : found->second.waiting.size_of(workspace);
}

auto waiting_queue::arrival_share(const std::string& kind) const -> double
{
    auto total = 0.0;
    for (const auto& [name, state] : kinds_) {
        total += state.arrived;
    }
    const auto found = kinds_.find(kind);
    return found == kinds_.end() || total <= 0.0 ? 1.0 : found->second.arrived / total;
}

auto waiting_queue::admission_share(const std::string& kind, const std::string& workspace) const
    -> double
{
    const auto found = kinds_.find(kind);
    return found == kinds_.end() ? 1.0 : found->second.waiting.admission_share(workspace);
}

auto waiting_queue::decay(time_point now) -> void
{
    if (now - decayed_at_ < decay_interval) {
        return;
    }
    const auto elapsed = std::chrono::duration<double>(now - decayed_at_);
    const auto factor = std::exp(-elapsed / decay_time);
    decayed_at_ = now;
    for (auto& [name, kind] : kinds_) {
        kind.arrived *= factor;
        kind.admitted *= factor;
    }
    std::erase_if(kinds_, [](const auto& item) {
        return item.second.waiting.size() == 0 && item.second.arrived < forgotten_below;
    });
}

} // namespace knapweedchute
