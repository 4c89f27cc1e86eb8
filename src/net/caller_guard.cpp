#include <knapweedchute/core/enum_names.hpp>
#include <knapweedchute/core/gauge_text.hpp>
#include <knapweedchute/net/caller_guard.hpp>

#include <algorithm>
#include <numeric>

namespace knapweedchute {
namespace {

constexpr auto reasons = static_cast<std::size_t>(caller_end::last);
constexpr auto names = enum_names<caller_end, reasons>{{
    {caller_end::memory, "memory"},
    {caller_end::framing, "framing"},
    {caller_end::time, "time"},
    {caller_end::room, "room"},
    {caller_end::refused, "refused"},
}};
static_assert(is_complete(names, caller_end::refused));

/// A body of one-byte chunks has five bytes of framing for each byte.
constexpr auto framing_per_byte = std::size_t{8};
constexpr auto least_framing_bytes = std::size_t{64} * 1'024;
/// The last line of a head is in the buffer and in its field at once.
constexpr auto memory_per_head_byte = std::size_t{2};

} // namespace

auto body_time(std::optional<milliseconds> deadline, const caller_limits& limits,
               milliseconds longest) -> milliseconds
{
    longest = std::max(longest, limits.idle_timeout);
    return std::clamp(deadline.value_or(longest), limits.idle_timeout, longest);
}

auto framing_too_dear(std::size_t framing_bytes, const caller_limits& limits) -> bool
{
    return framing_bytes > least_framing_bytes + framing_per_byte * limits.body_bytes;
}

auto servable_limits(const caller_limits& limits, std::size_t memory_bytes) -> caller_limits
{
    auto lowered = limits;
    lowered.header_bytes = std::min(limits.header_bytes, memory_bytes / memory_per_head_byte);
    lowered.body_bytes = std::min(limits.body_bytes, memory_bytes);
    return lowered;
}

auto caller_guard::ended(caller_end why) const noexcept -> std::uint64_t
{
    return why == caller_end::last ? std::accumulate(ends_.begin(), ends_.end(), std::uint64_t{0})
                                   : ends_[static_cast<std::size_t>(why)];
}

auto caller_guard::metrics() const -> std::string
{
    const auto gauge = [](const char* name, std::size_t value) {
        return gauge_text(name, "", static_cast<double>(value));
    };
    auto text = std::string{"# TYPE knapweedchute_callers_ended_total counter\n"};
    for (auto index = std::size_t{0}; index < reasons; ++index) {
        text += "knapweedchute_callers_ended_total{reason=\"";
        text += to_string(static_cast<caller_end>(index));
        text += "\"} " + std::to_string(ends_[index]) + "\n";
    }
    return text + gauge("caller_memory_bytes", account_.held()) +
           gauge("caller_memory_peak_bytes", account_.highest()) +
           gauge("caller_memory_limit_bytes", account_.limit()) +
           gauge("caller_connections", connections_) +
           gauge("caller_connections_limit", bounds_.connections);
}

auto to_string(caller_end why) noexcept -> std::string_view
{
    return name_of(names, why);
}

} // namespace knapweedchute
