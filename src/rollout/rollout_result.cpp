#include <knapweedchute/core/enum_names.hpp>
#include <knapweedchute/rollout/rollout_result.hpp>

namespace knapweedchute {
namespace {

constexpr auto result_names = enum_names<rollout_result, 3>{{
    {rollout_result::running, "running"},
    {rollout_result::finished, "finished"},
    {rollout_result::rolled_back, "taken_back"},
}};
static_assert(is_complete(result_names, rollout_result::rolled_back));

constexpr auto fault_names = enum_names<rollout_fault, 5>{{
    {rollout_fault::none, "none"},
    {rollout_fault::incomplete, "incomplete"},
    {rollout_fault::empty, "empty"},
    {rollout_fault::slow, "slow"},
    {rollout_fault::too_little_evidence, "too_little_evidence"},
}};
static_assert(is_complete(fault_names, rollout_fault::too_little_evidence));

} // namespace

auto to_string(rollout_result result) noexcept -> std::string_view
{
    return name_of(result_names, result);
}

auto to_string(rollout_fault fault) noexcept -> std::string_view
{
    return name_of(fault_names, fault);
}

} // namespace knapweedchute
