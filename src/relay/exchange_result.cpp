#include <knapweedchute/core/enum_names.hpp>
#include <knapweedchute/relay/exchange_result.hpp>

namespace knapweedchute {
namespace {

constexpr auto names = enum_names<exchange_end, 5>{{
    {exchange_end::not_run, "not_run"},
    {exchange_end::wrong_target, "wrong_target"},
    {exchange_end::answered, "answered"},
    {exchange_end::broken, "broken"},
    {exchange_end::unknown, "unknown"},
}};
static_assert(is_complete(names, exchange_end::unknown));

} // namespace

auto to_string(exchange_end end) noexcept -> std::string_view
{
    return name_of(names, end);
}

} // namespace knapweedchute
