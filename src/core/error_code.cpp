#include <knapweedchute/core/enum_names.hpp>
#include <knapweedchute/core/error_code.hpp>

namespace knapweedchute {
namespace {

constexpr auto names = enum_names<error_code, 20>{{
    {error_code::malformed, "malformed"},
    {error_code::invalid_value, "invalid_value"},
    {error_code::unknown_key, "unknown_key"},
    {error_code::too_large, "too_large"},
    {error_code::not_authentic, "not_authentic"},
    {error_code::unknown_service, "unknown_service"},
    {error_code::no_configuration, "no_configuration"},
    {error_code::not_fresh, "not_fresh"},
    {error_code::no_snapshot, "no_snapshot"},
    {error_code::overloaded, "overloaded"},
    {error_code::deadline_exceeded, "deadline_exceeded"},
    {error_code::coverage_too_low, "coverage_too_low"},
    {error_code::target_failed, "target_failed"},
    {error_code::issued_elsewhere, "issued_elsewhere"},
    {error_code::duplicate_request, "duplicate_request"},
    {error_code::conflict, "conflict"},
    {error_code::store_unavailable, "store_unavailable"},
    {error_code::outcome_unknown, "outcome_unknown"},
    {error_code::not_found, "not_found"},
    {error_code::not_permitted, "not_permitted"},
}};
static_assert(is_complete(names, error_code::not_permitted));

} // namespace

auto to_string(error_code code) noexcept -> std::string_view
{
    return name_of(names, code);
}

} // namespace knapweedchute
