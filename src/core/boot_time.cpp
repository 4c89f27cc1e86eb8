#include <knapweedchute/core/boot_time.hpp>

#include <ctime>

namespace knapweedchute {

auto boot_time() -> duration
{
    auto now = timespec{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return seconds{now.tv_sec} + std::chrono::nanoseconds{now.tv_nsec};
}

} // namespace knapweedchute
