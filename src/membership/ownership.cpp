#include <knapweedchute/membership/ownership.hpp>

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace knapweedchute {
namespace {

/// Both names are hashed once; a rank mixes the two hashes.
auto rank_of(std::uint64_t instance_hash, std::uint64_t target_hash) -> std::uint64_t
{
    return XXH3_64bits_withSeed(&instance_hash, sizeof(instance_hash), target_hash);
}

} // namespace

auto target_share::of(std::int64_t bearing) const noexcept -> std::int64_t
{
    if (owners == 0) {
        return 0;
    }
    const auto part = bearing / owners + (position < bearing % owners ? 1 : 0);
    return std::min(part, connections);
}

ownership::ownership(std::vector<std::string> instances) : instances_{std::move(instances)}
{
    for (const auto& instance : instances_) {
        hashes_.push_back(XXH3_64bits(instance.data(), instance.size()));
    }
}

auto ownership::owners(const address& target, std::int64_t limit) const -> std::vector<std::string>
{
    const auto target_hash = (std::uint64_t{target.ip} << 16U) | target.port;
    auto ranks = std::vector<std::pair<std::uint64_t, std::size_t>>{};
    ranks.reserve(hashes_.size());
    for (auto index = std::size_t{0}; index < hashes_.size(); ++index) {
        ranks.emplace_back(rank_of(hashes_[index], target_hash), index);
    }
    const auto useful = std::max<std::int64_t>(limit / fewest_connections, 1);
    const auto count = std::min(ranks.size(), static_cast<std::size_t>(useful));
    const auto end = ranks.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(ranks.begin(), end, ranks.end());
    auto names = std::vector<std::string>{};
    for (auto rank = ranks.begin(); rank != end; ++rank) {
        names.push_back(instances_[rank->second]);
    }
    return names;
}

auto ownership::share(const std::string& instance, const address& target, std::int64_t limit) const
    -> target_share
{
    const auto holders = owners(target, limit);
    const auto found = std::find(holders.begin(), holders.end(), instance);
    if (found == holders.end()) {
        return {};
    }
    const auto count = static_cast<std::int64_t>(holders.size());
    const auto position = found - holders.begin();
    const auto connections = limit / count + (position < limit % count ? 1 : 0);
    return {position, count, connections};
}

} // namespace knapweedchute
