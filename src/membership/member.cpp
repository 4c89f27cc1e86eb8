#include <knapweedchute/membership/member.hpp>

namespace knapweedchute {

auto supersedes(const member& update, const member& known) noexcept -> bool
{
    if (update.incarnation != known.incarnation) {
        return update.incarnation > known.incarnation;
    }
    return update.state > known.state;
}

} // namespace knapweedchute
