#include <knapweedchute/query/version_counter.hpp>

namespace knapweedchute {
namespace {

/// One stall slows down all requests in progress; they count as one observation.
constexpr auto observation_interval = milliseconds{50};

} // namespace

auto version_counter::record_request(const version_observation& observation,
                                     time_point now) noexcept -> void
{
    const auto interval = now.time_since_epoch() / observation_interval;
    counts_.queries += 1;
    counts_.incomplete += observation.incomplete ? 1 : 0;
    counts_.empty += observation.empty ? 1 : 0;
    counts_.intervals += last_interval_ != interval ? 1 : 0;
    last_interval_ = interval;
    if (observation.slow && last_slow_interval_ != interval) {
        counts_.slow += 1;
        last_slow_interval_ = interval;
    }
}

} // namespace knapweedchute
