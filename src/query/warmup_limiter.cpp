#include <knapweedchute/query/warmup_limiter.hpp>

#include <algorithm>

namespace knapweedchute {

warmup_limiter::warmup_limiter(std::int64_t cold_requests, std::int64_t limit,
                               duration warmup) noexcept
    : cold_requests_{std::min(cold_requests, limit)}, limit_{limit}, warmup_{warmup},
      base_capacity_{cold_requests_}
{
}

auto warmup_limiter::restart(time_point now, duration uptime) noexcept -> void
{
    base_capacity_ = cold_requests_;
    rise_started_ = now - std::min(uptime, warmup_);
}

auto warmup_limiter::on_shed(time_point now) noexcept -> void
{
    base_capacity_ = std::max(cold_requests_, capacity(now) / 2);
    rise_started_ = now;
}

auto warmup_limiter::capacity(time_point now) const noexcept -> std::int64_t
{
    const auto age = std::max(now - rise_started_, duration::zero());
    if (age >= warmup_) {
        return limit_;
    }
    const auto progress = static_cast<double>(age.count()) / static_cast<double>(warmup_.count());
    return base_capacity_ +
           static_cast<std::int64_t>(static_cast<double>(limit_ - base_capacity_) * progress);
}

auto warmup_limiter::warming(time_point now) const noexcept -> bool
{
    return capacity(now) < limit_;
}

} // namespace knapweedchute
