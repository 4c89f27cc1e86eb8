#include <knapweedchute/core/enum_names.hpp>
#include <knapweedchute/membership/member_state.hpp>

namespace knapweedchute {
namespace {

constexpr auto names = enum_names<member_state, 6>{{
    {member_state::joining, "joining"},
    {member_state::alive, "alive"},
    {member_state::leaving, "leaving"},
    {member_state::suspect, "suspect"},
    {member_state::dead, "dead"},
    {member_state::left, "left"},
}};
static_assert(is_complete(names, member_state::left));

} // namespace

auto to_string(member_state state) noexcept -> std::string_view
{
    return name_of(names, state);
}

} // namespace knapweedchute
