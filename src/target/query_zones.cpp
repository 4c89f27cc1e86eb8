#include <knapweedchute/target/query_zones.hpp>

#include <algorithm>
#include <map>

namespace knapweedchute {
namespace {

/// Divisor of the number of shards in the best zone that gives the minimum of the others.
constexpr auto min_shards_divisor = std::size_t{2};

} // namespace

auto query_zones(const route_table& table, const target_registry& targets) -> std::set<std::string>
{
    auto shards = std::set<std::string>{};
    for (const auto& entry : table.routes()) {
        shards.insert(entry.shards.begin(), entry.shards.end());
    }
    auto shards_by_zone = std::map<std::string, std::size_t>{};
    for (const auto& shard : shards) {
        auto zones = std::set<std::string>{};
        for (const auto& target : targets.usable(shard)) {
            zones.insert(target->availability_zone);
        }
        for (const auto& zone : zones) {
            shards_by_zone[zone] += 1;
        }
    }
    auto most = std::size_t{0};
    for (const auto& [zone, count] : shards_by_zone) {
        most = std::max(most, count);
    }
    auto near = std::set<std::string>{};
    for (const auto& [zone, count] : shards_by_zone) {
        if (count * min_shards_divisor >= most) {
            near.insert(zone);
        }
    }
    return near;
}

} // namespace knapweedchute
