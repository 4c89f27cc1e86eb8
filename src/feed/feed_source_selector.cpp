#include <knapweedchute/feed/feed_source_selector.hpp>
#include <knapweedchute/membership/store_readers.hpp>

#include <algorithm>

namespace knapweedchute {
namespace {

/// Time for which a peer, or the store, is avoided after a failed read.
constexpr auto failure_cooldown = seconds{4};
/// With this many peers avoided, the instance reads the store itself.
constexpr auto max_failed_peers = 2;

} // namespace

auto feed_source_selector::select_peer(const std::vector<member>& members, const member& self,
                                       time_point now) const -> std::optional<member>
{
    const auto readers_per_zone = store_readers_per_zone(members);
    const auto store_is_avoided = store_failed_at_ && now - *store_failed_at_ < failure_cooldown;
    if (!store_is_avoided && is_store_reader(members, self, readers_per_zone)) {
        return std::nullopt;
    }
    const auto is_avoided = [&](const member& peer) {
        const auto failure = failure_times_.find(peer.instance);
        return failure != failure_times_.end() && now - failure->second < failure_cooldown;
    };
    if (std::count_if(members.begin(), members.end(), is_avoided) >= max_failed_peers) {
        return std::nullopt;
    }
    auto readers = std::vector<member>{};
    for (const auto& peer : members) {
        if (peer.instance != self.instance && peer.state == member_state::alive &&
            !is_avoided(peer) && is_store_reader(members, peer, readers_per_zone)) {
            readers.push_back(peer);
        }
    }
    // Prefers readers in the same zone; address and incarnation spread the followers over them.
    const auto same_zone_end =
        std::stable_partition(readers.begin(), readers.end(), [&](const auto& peer) {
            return peer.availability_zone == self.availability_zone;
        });
    const auto candidate_count = same_zone_end == readers.begin()
                                     ? readers.size()
                                     : static_cast<std::size_t>(same_zone_end - readers.begin());
    if (candidate_count == 0) {
        return std::nullopt;
    }
    return readers[(self.peer_address.ip + self.incarnation) % candidate_count];
}

auto feed_source_selector::record_failure(const std::string& instance, time_point now) -> void
{
    failure_times_[instance] = now;
}

} // namespace knapweedchute
