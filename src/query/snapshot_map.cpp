#include <knapweedchute/query/snapshot_map.hpp>

#include <algorithm>

namespace knapweedchute {

auto snapshot_map::covered_shards() const noexcept -> std::size_t
{
    const auto count = std::count_if(replicas.begin(), replicas.end(), [](const auto& targets) {
        return std::any_of(targets.begin(), targets.end(),
                           [](const auto& target) { return target->eligible(); });
    });
    return static_cast<std::size_t>(count);
}

} // namespace knapweedchute
