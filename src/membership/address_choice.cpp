#include <knapweedchute/membership/address_choice.hpp>

#include <algorithm>

namespace knapweedchute {

address_choice::address_choice(std::uint64_t seed) : random_{seed} {}

auto address_choice::preferred(const std::vector<member>& members) -> std::vector<member>
{
    auto alive = std::vector<member>{};
    std::copy_if(members.begin(), members.end(), std::back_inserter(alive),
                 [](const auto& item) { return item.state == member_state::alive; });
    std::stable_sort(alive.begin(), alive.end(), [](const auto& left, const auto& right) {
        return left.processor_permil > right.processor_permil;
    });
    const auto least =
        alive.empty() ? 0.0 : static_cast<double>(alive.front().processor_permil) * least_strength;
    const auto weak = std::find_if(alive.begin(), alive.end(), [&](const auto& item) {
        return static_cast<double>(item.processor_permil) < least;
    });
    const auto strong = static_cast<std::size_t>(weak - alive.begin());
    alive.resize(std::min(alive.size(), std::max(strong, fewest_addresses)));
    return alive;
}

auto address_choice::choose(const std::vector<member>& members,
                            const std::set<std::string>& zones_out, const std::string& near_zone)
    -> std::vector<member>
{
    auto chosen = std::vector<member>{};
    const auto usable = preferred(members);
    std::copy_if(usable.begin(), usable.end(), std::back_inserter(chosen),
                 [&](const auto& item) { return !zones_out.contains(item.availability_zone); });
    std::shuffle(chosen.begin(), chosen.end(), random_);
    std::stable_partition(chosen.begin(), chosen.end(),
                          [&](const auto& item) { return item.availability_zone == near_zone; });
    chosen.resize(std::min(chosen.size(), most_addresses));
    return chosen;
}

} // namespace knapweedchute
