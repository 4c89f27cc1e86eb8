#include <knapweedchute/core/enum_names.hpp>
#include <knapweedchute/query/attempt_failure.hpp>

namespace knapweedchute {
namespace {

constexpr auto names = enum_names<attempt_failure, 9>{{
    {attempt_failure::not_connected, "not_connected"},
    {attempt_failure::shed, "shed"},
    {attempt_failure::leaving, "leaving"},
    {attempt_failure::snapshot_gone, "snapshot_gone"},
    {attempt_failure::silent, "silent"},
    {attempt_failure::timed_out, "timed_out"},
    {attempt_failure::broken, "broken"},
    {attempt_failure::failed, "failed"},
    {attempt_failure::peer_failed, "peer_failed"},
}};
static_assert(is_complete(names, attempt_failure::peer_failed));

} // namespace

auto to_string(attempt_failure failure) noexcept -> std::string_view
{
    return name_of(names, failure);
}

auto outcome_of(attempt_failure failure) noexcept -> outcome
{
    switch (failure) {
    case attempt_failure::not_connected:
    case attempt_failure::shed:
    case attempt_failure::leaving:
    case attempt_failure::snapshot_gone:
        return outcome::not_run;
    default:
        return outcome::unknown;
    }
}

auto counts_against_target(attempt_failure failure) noexcept -> bool
{
    switch (failure) {
    case attempt_failure::not_connected:
    case attempt_failure::timed_out:
    case attempt_failure::broken:
    case attempt_failure::failed:
        return true;
    default:
        return false;
    }
}

} // namespace knapweedchute
