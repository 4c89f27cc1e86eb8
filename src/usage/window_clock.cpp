#include <knapweedchute/usage/window_clock.hpp>

#include <algorithm>
#include <vector>

namespace knapweedchute {
namespace {

/// Below it, the time on the way is as likely a reason for a difference.
constexpr auto tolerated_difference = milliseconds{100};
constexpr auto max_peers = std::size_t{1'000};

} // namespace

auto window_clock::on_statement(const std::string& peer, milliseconds unix_ms, duration boot)
    -> void
{
    if (peer_offsets_.size() >= max_peers && !peer_offsets_.contains(peer)) {
        peer_offsets_.erase(peer_offsets_.begin());
    }
    peer_offsets_[peer] = unix_ms - std::chrono::floor<milliseconds>(boot);
}

auto window_clock::agreed_at(duration boot) const -> milliseconds
{
    auto offsets = std::vector<milliseconds>{offset_};
    for (const auto& [peer, offset] : peer_offsets_) {
        offsets.push_back(offset);
    }
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    return std::chrono::floor<milliseconds>(boot) + *middle;
}

auto window_clock::correct(milliseconds agreed, duration boot) -> void
{
    const auto difference = agreed - unix_at(boot);
    if (std::chrono::abs(difference) > tolerated_difference) {
        offset_ += difference;
    }
}

} // namespace knapweedchute
