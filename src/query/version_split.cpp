#include <knapweedchute/query/version_split.hpp>

namespace knapweedchute {

auto version_split::next_is_new(std::int64_t share_permil) noexcept -> bool
{
    constexpr auto full_permil = std::int64_t{1'000};
    if (share_permil <= 0) {
        accumulated_permil_ = 0;
        return false;
    }
    accumulated_permil_ += share_permil;
    if (accumulated_permil_ < full_permil) {
        return false;
    }
    accumulated_permil_ -= full_permil;
    return true;
}

} // namespace knapweedchute
