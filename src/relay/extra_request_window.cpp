#include <knapweedchute/relay/extra_request_window.hpp>

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

auto extra_request_window::try_acquire(const std::string& service, time_point now) -> bool
{
    auto& history = services_[service];
    remove_before(history.requests, now - limits_.window);
    remove_before(history.extras, now - limits_.window);
    const auto allowance = limits_.allowance / static_cast<double>(instance_count_);
    const auto max_extras =
        limits_.ratio * static_cast<double>(history.requests.size()) + allowance;
    if (static_cast<double>(history.extras.size()) + 1.0 > max_extras * used_fraction) {
        return false;
    }
    history.extras.push_back(now);
    return true;
}

} // namespace knapweedchute
