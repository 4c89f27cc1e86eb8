#include <knapweedchute/core/enum_names.hpp>
#include <knapweedchute/move/move_result.hpp>

namespace knapweedchute {
namespace {

constexpr auto result_names = enum_names<move_result, 3>{{
    {move_result::running, "running"},
    {move_result::finished, "finished"},
    {move_result::taken_back, "taken_back"},
}};
static_assert(is_complete(result_names, move_result::taken_back));

constexpr auto fault_names = enum_names<move_fault, 5>{{
    {move_fault::none, "none"},
    {move_fault::incomplete, "incomplete"},
    {move_fault::empty, "empty"},
    {move_fault::slow, "slow"},
    {move_fault::too_little_evidence, "too_little_evidence"},
}};
static_assert(is_complete(fault_names, move_fault::too_little_evidence));

} // namespace

auto to_string(move_result result) noexcept -> std::string_view
{
    return name_of(result_names, result);
}

auto to_string(move_fault fault) noexcept -> std::string_view
{
    return name_of(fault_names, fault);
}

} // namespace knapweedchute
