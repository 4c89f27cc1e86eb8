#include <knapweedchute/core/enum_names.hpp>
#include <knapweedchute/relay/impl/trace_entry.hpp>

namespace knapweedchute::impl {
namespace {

constexpr auto names = enum_names<trace_step, 6>{{
    {trace_step::send, "send"},
    {trace_step::hedge, "hedge"},
    {trace_step::retry, "retry"},
    {trace_step::wait, "wait"},
    {trace_step::no_target, "no_target"},
    {trace_step::end, "end"},
}};
static_assert(is_complete(names, trace_step::end));

} // namespace

auto to_string(trace_step step) noexcept -> std::string_view
{
    return name_of(names, step);
}

} // namespace knapweedchute::impl
