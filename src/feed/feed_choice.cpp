#include <knapweedchute/feed/feed_choice.hpp>
#include <knapweedchute/membership/store_readers.hpp>

#include <algorithm>

namespace knapweedchute {
namespace {

/// A peer that failed is left alone for so long.
constexpr auto avoided_for = seconds{4};
/// After so many peers that could not tell, the store is asked.
constexpr auto most_failed_peers = 2;

} // namespace

auto feed_choice::choose(const std::vector<member>& members, const member& self,
                         time_point now) const -> std::optional<member>
{
    if (is_store_reader(members, self, readers_per_zone)) {
        return std::nullopt;
    }
    const auto avoided = [&](const member& peer) {
        const auto known = failed_.find(peer.instance);
        return known != failed_.end() && now - known->second < avoided_for;
    };
    if (std::count_if(members.begin(), members.end(), avoided) >= most_failed_peers) {
        return std::nullopt;
    }
    auto readers = std::vector<member>{};
    for (const auto& peer : members) {
        if (peer.state == member_state::alive && !avoided(peer) &&
            is_store_reader(members, peer, readers_per_zone)) {
            readers.push_back(peer);
        }
    }
    // Those of the own zone first; among equals each follower takes another one.
    const auto near = std::stable_partition(readers.begin(), readers.end(), [&](const auto& peer) {
        return peer.availability_zone == self.availability_zone;
    });
    const auto count =
        near == readers.begin() ? readers.size() : static_cast<std::size_t>(near - readers.begin());
    if (count == 0) {
        return std::nullopt;
    }
    return readers[(self.peer_address.ip + self.incarnation) % count];
}

auto feed_choice::on_failure(const std::string& instance, time_point now) -> void
{
    failed_[instance] = now;
}

} // namespace knapweedchute
