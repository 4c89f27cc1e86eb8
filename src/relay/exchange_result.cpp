#include <knapweedchute/core/enum_names.hpp>
#include <knapweedchute/relay/exchange_result.hpp>

namespace knapweedchute {
namespace {

constexpr auto names = enum_names<exchange_status, 5>{{
    {exchange_status::not_run, "not_run"},
    {exchange_status::wrong_target, "wrong_target"},
    {exchange_status::answered, "answered"},
    {exchange_status::broken, "broken"},
    {exchange_status::unknown, "unknown"},
}};
static_assert(is_complete(names, exchange_status::unknown));

} // namespace

auto to_string(exchange_status status) noexcept -> std::string_view
{
    return name_of(names, status);
}

} // namespace knapweedchute
