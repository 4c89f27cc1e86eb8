#include <knapweedchute/relay/target_backoff.hpp>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace knapweedchute {
namespace {

constexpr auto status_unavailable = 503U;
/// A pause that a target asks for is cut to this, so that one bad value does not lose the target.
constexpr auto max_pause_s = 600.0;
/// Bounds what a target that sends without end costs in bytes and processor time.
constexpr auto oversized_pause = seconds{2};

/// Returns the seconds of a `Retry-After` header; a date or another text is no pause.
auto parse_seconds(std::string_view text) -> std::optional<double>
{
    auto value = 0.0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end || !(value > 0.0)) {
        return std::nullopt;
    }
    return std::min(value, max_pause_s);
}

} // namespace

auto target_backoff::on_answer(const target_record& target, const relayed_answer& answer,
                               time_point now) -> void
{
    const auto* field =
        answer.status == status_unavailable ? find_field(answer.fields, "Retry-After") : nullptr;
    const auto wait = field == nullptr ? std::nullopt : parse_seconds(field->value);
    if (!wait) {
        return;
    }
    pause_until(target,
                now + std::chrono::ceil<milliseconds>(std::chrono::duration<double>(*wait)));
}

auto target_backoff::on_oversized(const target_record& target, time_point now) -> void
{
    pause_until(target, now + oversized_pause);
}

auto target_backoff::pause_until(const target_record& target, time_point end) -> void
{
    auto& known = pauses_[target.id];
    known.end = known.start_unix_ms == target.start_unix_ms ? std::max(known.end, end) : end;
    known.start_unix_ms = target.start_unix_ms;
}

auto target_backoff::end(const target_record& target, time_point now) const
    -> std::optional<time_point>
{
    const auto known = pauses_.find(target.id);
    const auto pausing = known != pauses_.end() &&
                         known->second.start_unix_ms == target.start_unix_ms &&
                         now < known->second.end;
    return pausing ? std::optional{known->second.end} : std::nullopt;
}

auto target_backoff::remove_ended(time_point now) -> void
{
    std::erase_if(pauses_, [now](const auto& item) { return item.second.end <= now; });
}

} // namespace knapweedchute
