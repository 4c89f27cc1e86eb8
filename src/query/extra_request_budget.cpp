#include <knapweedchute/query/extra_request_budget.hpp>

#include <algorithm>

namespace knapweedchute {

extra_request_budget::extra_request_budget(double ratio, double max_tokens) noexcept
    : ratio_{ratio}, max_tokens_{max_tokens}, tokens_{max_tokens}
{
}

auto extra_request_budget::deposit() noexcept -> void
{
    tokens_ = std::min(tokens_ + ratio_, max_tokens_);
}

auto extra_request_budget::try_withdraw() noexcept -> bool
{
    if (tokens_ < 1.0) {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

} // namespace knapweedchute
