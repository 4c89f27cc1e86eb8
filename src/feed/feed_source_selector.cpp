#include <knapweedchute/feed/feed_source_selector.hpp>
#include <knapweedchute/membership/store_readers.hpp>

#include <algorithm>

namespace knapweedchute {
namespace {

/// Time for which the store, or a silent peer, is avoided after a failed read.
constexpr auto failure_cooldown = seconds{4};
/// Time for which a peer is avoided that refused at once; doubles up to `failure_cooldown`.
constexpr auto refusal_cooldown = seconds{1};
/// With this many peers silent since the store was called, it is called again.
constexpr auto max_silent_peers = 2;
/// Largest multiple of the readers of a zone among which one that serves is looked for.
constexpr auto max_reader_factor = std::size_t{4};

} // namespace

auto feed_source_selector::select_peer(const std::vector<member>& members, const member& self,
                                       time_point now) const -> std::optional<member>
{
    const auto readers_per_zone = store_readers_per_zone(members);
    const auto store_is_avoided = store_failed_at_ && now - *store_failed_at_ < failure_cooldown;
    if (!store_is_avoided && is_store_reader(members, self, readers_per_zone)) {
        return std::nullopt;
    }
    if (store_is_due(members, now)) {
        return std::nullopt;
    }
    auto readers = available_readers(members, self, readers_per_zone, now);
    // Where no reader serves, others that the store serves read it themselves.
    for (auto factor = std::size_t{2};
         store_is_avoided && readers.empty() && factor <= max_reader_factor; factor *= 2) {
        readers = available_readers(members, self, factor * readers_per_zone, now);
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

auto feed_source_selector::available_readers(const std::vector<member>& members, const member& self,
                                             std::size_t per_zone, time_point now) const
    -> std::vector<member>
{
    auto readers = store_readers(members, per_zone);
    std::erase_if(readers, [&](const auto& peer) {
        return peer.instance == self.instance || peer.state != member_state::alive ||
               is_avoided(peer.instance, now);
    });
    return readers;
}

auto feed_source_selector::cooldown(const peer_failure& failure) -> duration
{
    if (failure.silent) {
        return failure_cooldown;
    }
    const auto doublings = std::min<std::size_t>(failure.refusals_in_row - 1, 2);
    return std::min<duration>(refusal_cooldown * (1U << doublings), failure_cooldown);
}

auto feed_source_selector::is_avoided(const std::string& instance, time_point now) const -> bool
{
    const auto failure = failures_.find(instance);
    return failure != failures_.end() && now - failure->second.at < cooldown(failure->second);
}

auto feed_source_selector::store_is_due(const std::vector<member>& members, time_point now) const
    -> bool
{
    const auto silent_since = [&](const member& peer) {
        const auto failure = failures_.find(peer.instance);
        return failure != failures_.end() && failure->second.silent &&
               is_avoided(peer.instance, now) &&
               (!store_failed_at_ || failure->second.at > *store_failed_at_);
    };
    return std::count_if(members.begin(), members.end(), silent_since) >= max_silent_peers;
}

auto feed_source_selector::record_failure(const std::string& instance, feed_failure failure,
                                          time_point now) -> void
{
    const auto refused = failure == feed_failure::refused || failure == feed_failure::too_old ||
                         failure == feed_failure::older_era;
    auto& known = failures_[instance];
    known = {now, !refused, refused ? known.refusals_in_row + 1 : 0};
}

} // namespace knapweedchute
