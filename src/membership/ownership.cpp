#include <knapweedchute/membership/ownership.hpp>

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace knapweedchute {
namespace {

// The name and the address are hashed once; the rank of each pair combines the two hashes. A lower
// rank is better.
auto rank_of(std::uint64_t instance_hash, std::uint64_t target_hash) -> std::uint64_t
{
    return XXH3_64bits_withSeed(&instance_hash, sizeof(instance_hash), target_hash);
}

} // namespace

auto target_share::max_concurrent_requests(std::int64_t capacity) const noexcept -> std::int64_t
{
    if (owners == 0) {
        return 0;
    }
    const auto part = capacity / owners + (position < capacity % owners ? 1 : 0);
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
    const auto max_owners = std::max<std::int64_t>(limit / min_connections, 1);
    const auto count = std::min(hashes_.size(), static_cast<std::size_t>(max_owners));
    // Max-heap of the best ranks so far, with the worst of them in front: once it is full, almost
    // every instance is rejected by a single comparison.
    auto best = std::vector<std::pair<std::uint64_t, std::size_t>>{};
    best.reserve(count);
    for (auto index = std::size_t{0}; index < hashes_.size(); ++index) {
        const auto ranked = std::pair{rank_of(hashes_[index], target_hash), index};
        if (best.size() == count) {
            if (best.front() < ranked) {
                continue;
            }
            std::pop_heap(best.begin(), best.end());
            best.pop_back();
        }
        best.push_back(ranked);
        std::push_heap(best.begin(), best.end());
    }
    std::sort_heap(best.begin(), best.end());
    auto names = std::vector<std::string>{};
    names.reserve(count);
    for (const auto& [rank, index] : best) {
        names.push_back(instances_[index]);
    }
    return names;
}

auto share_among(const std::vector<std::string>& owners, const std::string& instance,
                 std::int64_t limit) -> target_share
{
    const auto owner = std::find(owners.begin(), owners.end(), instance);
    if (owner == owners.end()) {
        return {};
    }
    const auto count = static_cast<std::int64_t>(owners.size());
    const auto position = owner - owners.begin();
    return {position, count, limit / count + (position < limit % count ? 1 : 0)};
}

auto rate_among(const ownership& instances, const address& target, const std::string& instance,
                double limit) -> double
{
    const auto owners = instances.owners(target, std::llround(limit));
    const auto owner = std::find(owners.begin(), owners.end(), instance);
    return owner == owners.end() ? 0.0 : limit / static_cast<double>(owners.size());
}

} // namespace knapweedchute
