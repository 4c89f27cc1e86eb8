#include <knapweedchute/admission/concurrency_limit.hpp>

#include <algorithm>

namespace knapweedchute {
namespace {

/// Share of overloaded ends from which the limit falls and below which it may rise. Pauses and slow
/// replicas alone cause some.
constexpr auto max_overloaded_share = 0.2;
/// Weight of a new end in the moving average of the share.
constexpr auto share_weight = 1.0 / 32.0;
/// Factor by which the limit falls.
constexpr auto decrease_factor = 0.8;
/// Increase of the limit for one round of requests that end in time.
constexpr auto increase_step = 0.25;
/// The limit falls at most once in this time, or in the typical latency if that is longer: requests
/// admitted before the last decrease are no evidence against the new limit.
constexpr auto min_decrease_interval = milliseconds{50};
/// The limit rises only while at least this fraction of it is in use.
constexpr auto used_fraction = 0.5;

} // namespace

auto concurrency_limit::set_min(double value) noexcept -> void
{
    min_ = std::clamp(value, 1.0, max_value);
    value_ = std::max(value_, min_);
}

auto concurrency_limit::on_end(request_end end, std::size_t in_progress, duration typical,
                               time_point now) noexcept -> void
{
    if (end == request_end::no_evidence) {
        return;
    }
    const auto used = static_cast<double>(in_progress);
    const auto overloaded = end == request_end::overloaded;
    overloaded_share_ += ((overloaded ? 1.0 : 0.0) - overloaded_share_) * share_weight;
    if (!overloaded && overloaded_share_ < max_overloaded_share && used >= value_ * used_fraction) {
        value_ = std::min(value_ + increase_step / value_, max_value);
    }
    const auto interval = std::max<duration>(typical, min_decrease_interval);
    if (overloaded && overloaded_share_ >= max_overloaded_share && now - fell_at_ >= interval) {
        value_ = std::max(std::min(value_, used) * decrease_factor, min_);
        fell_at_ = now;
    }
}

} // namespace knapweedchute
