#include <knapweedchute/relay/extra_request_window.hpp>

#include <algorithm>

namespace knapweedchute {
namespace {

/// Fraction of the shared limit that is used; the rest covers requests near the window's edge.
constexpr auto used_fraction = 0.85;

auto remove_before(std::deque<time_point>& times, time_point oldest) -> void
{
    while (!times.empty() && times.front() < oldest) {
        times.pop_front();
    }
}

} // namespace

auto extra_request_window::on_request(const std::string& service, time_point now) -> void
{
    auto& history = services_[service];
    remove_before(history.requests, now - limits_.window);
    history.requests.push_back(now);
}

auto extra_request_window::take_use(time_point now) -> extra_request_use
{
    auto use = extra_request_use{0.0, std::exchange(refused_, false)};
    if (limits_.allowance <= 0.0) {
        return use;
    }
    for (auto& [service, history] : services_) {
        remove_before(history.extras, now - limits_.window);
        const auto used = static_cast<double>(history.extras.size()) / used_fraction;
        use.highest = std::max(use.highest, used / limits_.allowance);
    }
    return use;
}

auto extra_request_window::try_acquire(const std::string& service, time_point now) -> bool
{
    auto& history = services_[service];
    remove_before(history.requests, now - limits_.window);
    remove_before(history.extras, now - limits_.window);
    const auto fraction = fraction_ ? fraction_() : 1.0 / static_cast<double>(instance_count_);
    const auto allowance = limits_.allowance * fraction;
    const auto max_extras =
        limits_.ratio * static_cast<double>(history.requests.size()) + allowance;
    if (static_cast<double>(history.extras.size()) + 1.0 > max_extras * used_fraction) {
        refused_ = true;
        return false;
    }
    history.extras.push_back(now);
    return true;
}

} // namespace knapweedchute
