#include <knapweedchute/core/enum_names.hpp>
#include <knapweedchute/core/outcome.hpp>

namespace knapweedchute {
namespace {

constexpr auto names = enum_names<outcome, 3>{{
    {outcome::not_run, "not_run"},
    {outcome::ran, "ran"},
    {outcome::unknown, "unknown"},
}};
static_assert(is_complete(names, outcome::unknown));

} // namespace

auto to_string(outcome value) noexcept -> std::string_view
{
    return name_of(names, value);
}

} // namespace knapweedchute
