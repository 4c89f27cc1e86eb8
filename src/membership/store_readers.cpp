#include <knapweedchute/membership/store_readers.hpp>

#include <algorithm>

namespace knapweedchute {

auto is_store_reader(const std::vector<member>& members, const member& self, std::size_t count)
    -> bool
{
    const auto preceding = std::count_if(members.begin(), members.end(), [&](const auto& other) {
        return other.serving() && other.availability_zone == self.availability_zone &&
               other.instance < self.instance;
    });
    return static_cast<std::size_t>(preceding) < count;
}

} // namespace knapweedchute
