#pragma once

#include <knapweedchute/core/time.hpp>

namespace knapweedchute {

/// \brief Returns the time since the system started, suspended time included.
/// \detail Source: `CLOCK_BOOTTIME`. The steady clock stands still while a machine is suspended.
[[nodiscard]] auto boot_time() -> duration;

} // namespace knapweedchute
