#include <knapweedchute/membership/store_readers.hpp>

#include <algorithm>
#include <set>
#include <string>

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
