#include <knapweedchute/query/version_counter.hpp>

namespace knapweedchute {
namespace {

/// One stall makes all requests in progress slow at once: it is one observation, not one for each.
constexpr auto observation_interval = milliseconds{50};

} // namespace

auto version_counter::add(const version_observation& seen, time_point now) noexcept -> void
{
    const auto interval = now.time_since_epoch() / observation_interval;
    counts_.queries += 1;
    counts_.incomplete += seen.incomplete ? 1 : 0;
    counts_.empty += seen.empty ? 1 : 0;
    counts_.intervals += last_interval_ != interval ? 1 : 0;
    last_interval_ = interval;
    if (seen.slow && last_slow_interval_ != interval) {
        counts_.slow += 1;
        last_slow_interval_ = interval;
    }
}

} // namespace knapweedchute
