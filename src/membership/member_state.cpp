#include <knapweedchute/membership/member_state.hpp>

namespace knapweedchute {

auto to_string(member_state state) noexcept -> std::string_view
{
    switch (state) {
    case member_state::joining:
        return "joining";
    case member_state::alive:
        return "alive";
    case member_state::leaving:
        return "leaving";
    case member_state::suspect:
        return "suspect";
    case member_state::dead:
        return "dead";
    case member_state::left:
        return "left";
    }
    return "invalid";
}

} // namespace knapweedchute
