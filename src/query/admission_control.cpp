#include <knapweedchute/query/admission_control.hpp>

#include <algorithm>

namespace knapweedchute {
namespace {

constexpr auto recent_value_count = std::size_t{256};
constexpr auto adjust_interval = milliseconds{50};
constexpr auto target_deadline_share = 0.25;
constexpr auto gain = 0.05;
constexpr auto max_step = 0.05;
/// The share is adjusted by a factor, so it cannot recover from zero.
constexpr auto min_share = 0.02;
constexpr auto rate_smoothing_weight = 0.3;
/// Fewer queries in progress are no overload: after a quiet time or a stall of the process the
/// completion rate is low without one.
constexpr auto min_shed_in_progress = std::size_t{8};

} // namespace

admission_control::admission_control(std::size_t max_in_progress, std::uint64_t seed)
    : max_in_progress_{max_in_progress}, random_{seed}
{
}

auto admission_control::admit(double answer_value, std::size_t in_progress, time_point now) -> bool
{
    adjust_share(in_progress, now);
    if (recent_values_.size() < recent_value_count) {
        recent_values_.push_back(answer_value);
    } else {
        recent_values_[next_recent_value_] = answer_value;
        next_recent_value_ = (next_recent_value_ + 1) % recent_value_count;
    }
    if (in_progress >= max_in_progress_) {
        return false;
    }
    if (in_progress < min_shed_in_progress) {
        return true;
    }
    const auto above = share_above(answer_value);
    const auto equal = share_equal(answer_value);
    if (above + equal <= accepted_share_) {
        return true;
    }
    auto unit = std::uniform_real_distribution<double>{0.0, 1.0};
    return above < accepted_share_ && unit(random_) < (accepted_share_ - above) / equal;
}

auto admission_control::on_finished(duration time_allowed) noexcept -> void
{
    finished_count_ += 1;
    total_allowed_seconds_ += std::chrono::duration<double>(time_allowed).count();
}

auto admission_control::adjust_share(std::size_t in_progress, time_point now) -> void
{
    const auto elapsed = now - last_adjustment_;
    if (elapsed < adjust_interval) {
        return;
    }
    last_adjustment_ = now;
    if (finished_count_ == 0) {
        return;
    }
    const auto count = static_cast<double>(finished_count_);
    const auto rate = count / std::chrono::duration<double>(elapsed).count();
    finish_rate_ += (rate - finish_rate_) * (finish_rate_ == 0.0 ? 1.0 : rate_smoothing_weight);
    // Little's law: mean time = queries in progress / completion rate.
    const auto expected_seconds = static_cast<double>(in_progress) / finish_rate_;
    const auto deadline_share = expected_seconds / (total_allowed_seconds_ / count);
    const auto deviation = (target_deadline_share - deadline_share) / target_deadline_share;
    accepted_share_ *= 1.0 + std::clamp(gain * deviation, -max_step, max_step);
    accepted_share_ = std::clamp(accepted_share_, min_share, 1.0);
    finished_count_ = 0;
    total_allowed_seconds_ = 0.0;
}

auto admission_control::share_above(double answer_value) const -> double
{
    const auto count = std::count_if(recent_values_.begin(), recent_values_.end(),
                                     [&](double other) { return other > answer_value; });
    return static_cast<double>(count) / static_cast<double>(recent_values_.size());
}

auto admission_control::share_equal(double answer_value) const -> double
{
    const auto count = std::count(recent_values_.begin(), recent_values_.end(), answer_value);
    return static_cast<double>(count) / static_cast<double>(recent_values_.size());
}

} // namespace knapweedchute
