#include <knapweedchute/core/line_budget.hpp>

#include <algorithm>

namespace knapweedchute {

auto line_budget::take(double lines, double reserve, time_point now) noexcept -> bool
{
    const auto passed = std::chrono::duration<double>(now - filled_).count();
    left_ = std::min(burst_, left_ + std::max(passed, 0.0) * rate_);
    filled_ = now;
    if (left_ - lines < reserve * burst_) {
        return false;
    }
    left_ -= lines;
    return true;
}

} // namespace knapweedchute
