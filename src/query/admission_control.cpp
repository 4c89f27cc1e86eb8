#include <knapweedchute/query/admission_control.hpp>

#include <algorithm>

namespace knapweedchute {
namespace {

constexpr auto remembered_offers = std::size_t{256};
constexpr auto adjust_interval = milliseconds{50};
constexpr auto wanted_part_of_deadline = 0.25;
constexpr auto gain = 0.05;
constexpr auto steepest_step = 0.05;
constexpr auto lowest_share = 0.02;
constexpr auto rate_weight = 0.3;

} // namespace

admission_control::admission_control(std::size_t most_in_progress, std::uint64_t seed)
    : most_in_progress_{most_in_progress}, random_{seed}
{
}

auto admission_control::admit(double worth, std::size_t in_progress, time_point now) -> bool
{
    adjust(in_progress, now);
    if (offered_.size() < remembered_offers) {
        offered_.push_back(worth);
    } else {
        offered_[next_offered_] = worth;
        next_offered_ = (next_offered_ + 1) % remembered_offers;
    }
    if (in_progress >= most_in_progress_) {
        return false;
    }
    const auto above = share_above(worth);
    const auto equal = share_equal(worth);
    if (above + equal <= share_) {
        return true;
    }
    auto unit = std::uniform_real_distribution<double>{0.0, 1.0};
    return above < share_ && unit(random_) < (share_ - above) / equal;
}

auto admission_control::on_finished(duration allowed) noexcept -> void
{
    finished_ += 1;
    allowed_seconds_ += std::chrono::duration<double>(allowed).count();
}

auto admission_control::adjust(std::size_t in_progress, time_point now) -> void
{
    const auto elapsed = now - adjusted_;
    if (elapsed < adjust_interval) {
        return;
    }
    adjusted_ = now;
    if (finished_ == 0) {
        return;
    }
    const auto count = static_cast<double>(finished_);
    const auto rate = count / std::chrono::duration<double>(elapsed).count();
    finish_rate_ += (rate - finish_rate_) * (finish_rate_ == 0.0 ? 1.0 : rate_weight);
    // Little's law: what is in progress, over the rate at which it finishes.
    const auto expected = static_cast<double>(in_progress) / finish_rate_;
    const auto part = expected / (allowed_seconds_ / count);
    const auto distance = (wanted_part_of_deadline - part) / wanted_part_of_deadline;
    share_ *= 1.0 + std::clamp(gain * distance, -steepest_step, steepest_step);
    share_ = std::clamp(share_, lowest_share, 1.0);
    finished_ = 0;
    allowed_seconds_ = 0.0;
}

auto admission_control::share_above(double worth) const -> double
{
    const auto count = std::count_if(offered_.begin(), offered_.end(),
                                     [&](double other) { return other > worth; });
    return static_cast<double>(count) / static_cast<double>(offered_.size());
}

auto admission_control::share_equal(double worth) const -> double
{
    const auto count = std::count(offered_.begin(), offered_.end(), worth);
    return static_cast<double>(count) / static_cast<double>(offered_.size());
}

} // namespace knapweedchute
