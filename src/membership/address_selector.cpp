#include <knapweedchute/membership/address_selector.hpp>

#include <algorithm>

namespace knapweedchute {

address_selector::address_selector(std::uint64_t seed) : random_{seed} {}

auto address_selector::preferred(const std::vector<member>& members) -> std::vector<member>
{
    auto alive = std::vector<member>{};
    std::copy_if(members.begin(), members.end(), std::back_inserter(alive),
                 [](const auto& item) { return item.state == member_state::alive; });
    std::stable_sort(alive.begin(), alive.end(), [](const auto& left, const auto& right) {
        return left.processor_permil > right.processor_permil;
    });
    const auto min_share =
        alive.empty() ? 0.0 : static_cast<double>(alive.front().processor_permil) * min_share_ratio;
    const auto first_smaller = std::find_if(alive.begin(), alive.end(), [&](const auto& item) {
        return static_cast<double>(item.processor_permil) < min_share;
    });
    const auto larger_count = static_cast<std::size_t>(first_smaller - alive.begin());
    alive.resize(std::min(alive.size(), std::max(larger_count, min_addresses)));
    return alive;
}

auto address_selector::select(const std::vector<member>& members,
                              const std::set<std::string>& excluded_zones,
                              const std::string& caller_zone) -> std::vector<member>
{
    auto selected = std::vector<member>{};
    const auto usable = preferred(members);
    std::copy_if(usable.begin(), usable.end(), std::back_inserter(selected), [&](const auto& item) {
        return !excluded_zones.contains(item.availability_zone);
    });
    std::shuffle(selected.begin(), selected.end(), random_);
    std::stable_partition(selected.begin(), selected.end(),
                          [&](const auto& item) { return item.availability_zone == caller_zone; });
    selected.resize(std::min(selected.size(), max_addresses));
    return selected;
}

} // namespace knapweedchute
