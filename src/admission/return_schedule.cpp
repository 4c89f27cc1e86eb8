#include <knapweedchute/admission/return_schedule.hpp>

#include <algorithm>

namespace knapweedchute {
namespace {

/// Random spread of the times, as a fraction of each.
constexpr auto spread_fraction = 0.25;
/// Increase of the time for each step of priority, as a fraction.
constexpr auto priority_step = 0.5;
/// Rate that is assumed while none is known, in requests per second.
constexpr auto unknown_rate = 10.0;
constexpr auto first_retry_after = milliseconds{250};
constexpr auto last_retry_after = milliseconds{2'000};

auto scaled(duration time, double factor) -> duration
{
    return std::chrono::duration_cast<duration>(time * factor);
}

auto longest_time(duration time_left) -> duration
{
    return std::max<duration>(
        std::min<duration>(return_schedule::max_time,
                           scaled(time_left, return_schedule::heeded_fraction)),
        return_schedule::min_time);
}

} // namespace

auto return_schedule::next(double rate, duration time_left, int priority, time_point now)
    -> duration
{
    const auto spacing = std::chrono::duration<double>(1.0 / (rate > 0.0 ? rate : unknown_rate));
    const auto longest = longest_time(time_left);
    // Returns beyond the longest time are not scheduled: those callers share the last quarter.
    const auto earliest = now + duration{min_time};
    const auto latest = now + longest;
    next_return_ = std::clamp(next_return_ + std::chrono::duration_cast<duration>(spacing),
                              earliest, std::max(latest, earliest));
    auto spread = std::uniform_real_distribution<double>{1.0 - spread_fraction, 1.0};
    const auto factor = 1.0 + priority_step * static_cast<double>(std::max(priority, 0));
    const auto wanted = std::min(scaled(next_return_ - now, factor), longest);
    return std::max<duration>(scaled(wanted, spread(random_)), min_time);
}

auto return_schedule::latest(duration time_left) -> duration
{
    auto spread = std::uniform_real_distribution<double>{1.0 - spread_fraction, 1.0};
    return std::max<duration>(scaled(longest_time(time_left), spread(random_)), min_time);
}

auto retry_after_start(duration waited) noexcept -> duration
{
    return std::clamp<duration>(waited / 2, first_retry_after, last_retry_after);
}

} // namespace knapweedchute
