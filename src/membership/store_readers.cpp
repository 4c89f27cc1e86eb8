#include <knapweedchute/membership/store_readers.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <tuple>

namespace knapweedchute {
namespace {

/// Minimum number of readers in a larger fleet, over all its zones.
constexpr auto min_readers = std::size_t{4};

} // namespace

auto is_store_reader(const std::vector<member>& members, const member& self, std::size_t count)
    -> bool
{
    const auto preceding = std::count_if(members.begin(), members.end(), [&](const auto& other) {
        return other.serving() && other.availability_zone == self.availability_zone &&
               other.instance < self.instance;
    });
    return static_cast<std::size_t>(preceding) < count;
}

auto store_readers(const std::vector<member>& members, std::size_t count) -> std::vector<member>
{
    auto serving = std::vector<const member*>{};
    for (const auto& known : members) {
        if (known.serving()) {
            serving.push_back(&known);
        }
    }
    std::sort(serving.begin(), serving.end(), [](const auto* left, const auto* right) {
        return std::tie(left->availability_zone, left->instance) <
               std::tie(right->availability_zone, right->instance);
    });
    auto readers = std::vector<member>{};
    auto in_zone = std::size_t{0};
    for (auto index = std::size_t{0}; index < serving.size(); ++index) {
        const auto same_zone =
            index > 0 && serving[index]->availability_zone == serving[index - 1]->availability_zone;
        in_zone = same_zone ? in_zone + 1 : 0;
        if (in_zone < count) {
            readers.push_back(*serving[index]);
        }
    }
    return readers;
}

auto store_readers_per_zone(const std::vector<member>& members) -> std::size_t
{
    if (!has_followers(members)) {
        return max_direct_members;
    }
    auto zones = std::set<std::string>{};
    for (const auto& known : members) {
        if (known.serving()) {
            zones.insert(known.availability_zone);
        }
    }
    return (min_readers + zones.size() - 1) / zones.size();
}

auto has_followers(const std::vector<member>& members) -> bool
{
    const auto serving = std::count_if(members.begin(), members.end(),
                                       [](const auto& known) { return known.serving(); });
    return static_cast<std::size_t>(serving) > max_direct_members;
}

} // namespace knapweedchute
