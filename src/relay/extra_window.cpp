#include <knapweedchute/relay/extra_window.hpp>

namespace knapweedchute {
namespace {

/// Part of the shared bound that is used; the rest covers arrivals at a window's edge.
constexpr auto used_part = 0.85;

auto forget_before(std::deque<time_point>& times, time_point oldest) -> void
{
    while (!times.empty() && times.front() < oldest) {
        times.pop_front();
    }
}

} // namespace

auto extra_window::on_request(const std::string& service, time_point now) -> void
{
    auto& known = services_[service];
    forget_before(known.requests, now - bounds_.window);
    known.requests.push_back(now);
}

auto extra_window::take(const std::string& service, time_point now) -> bool
{
    auto& known = services_[service];
    forget_before(known.requests, now - bounds_.window);
    forget_before(known.extras, now - bounds_.window);
    const auto allowance = bounds_.allowance / static_cast<double>(instances_);
    const auto most = bounds_.ratio * static_cast<double>(known.requests.size()) + allowance;
    if (static_cast<double>(known.extras.size()) + 1.0 > most * used_part) {
        return false;
    }
    known.extras.push_back(now);
    return true;
}

} // namespace knapweedchute
