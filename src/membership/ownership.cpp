#include <knapweedchute/membership/ownership.hpp>

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace knapweedchute {
namespace {

auto rank_of(const std::string& instance, const address& target) -> std::uint64_t
{
    const auto seed = (std::uint64_t{target.ip} << 16U) | target.port;
    return XXH3_64bits_withSeed(instance.data(), instance.size(), seed);
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

ownership::ownership(std::vector<std::string> instances) : instances_{std::move(instances)} {}

auto ownership::owners(const address& target, std::int64_t limit) const -> std::vector<std::string>
{
    const auto useful = std::max<std::int64_t>(limit / fewest_connections, 1);
    auto list = ranked(target);
    list.resize(std::min(list.size(), static_cast<std::size_t>(useful)));
    return list;
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

auto ownership::ranked(const address& target) const -> std::vector<std::string>
{
    auto ranks = std::vector<std::pair<std::uint64_t, std::string>>{};
    for (const auto& instance : instances_) {
        ranks.emplace_back(rank_of(instance, target), instance);
    }
    std::sort(ranks.begin(), ranks.end());
    auto names = std::vector<std::string>{};
    for (auto& [rank, name] : ranks) {
        names.push_back(std::move(name));
    }
    return names;
}

} // namespace knapweedchute
