#include <knapweedchute/query/hedge_policy.hpp>

#include <algorithm>

namespace knapweedchute {
namespace {

constexpr auto min_delay = std::chrono::microseconds{500};
constexpr auto delay_median_factor = std::int64_t{2};
constexpr auto general_slowness_share = 0.25;
constexpr auto share_smoothing_weight = 1.0 / 32.0;
constexpr auto general_slowness_median_factor = std::int64_t{2};

} // namespace

hedge_policy::hedge_policy(bool enabled) noexcept : enabled_{enabled} {}

auto hedge_policy::on_answer(duration latency) -> void
{
    window_.add(latency);
}

auto hedge_policy::on_delay_reached(bool reached) noexcept -> void
{
    reached_share_ += ((reached ? 1.0 : 0.0) - reached_share_) * share_smoothing_weight;
}

auto hedge_policy::delay() const noexcept -> std::optional<duration>
{
    if (!enabled_ || !window_.ready()) {
        return std::nullopt;
    }
    return std::max({duration{min_delay}, window_.median() * delay_median_factor, window_.p95()});
}

auto hedge_policy::slowness_general() const noexcept -> bool
{
    return reached_share_ > general_slowness_share ||
           window_.median() > window_.baseline_median() * general_slowness_median_factor;
}

} // namespace knapweedchute
