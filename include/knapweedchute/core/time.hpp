#pragma once

#include <chrono>

namespace knapweedchute {

/// \brief Monotonic clock that daemons read; decisions never do.
using steady_clock = std::chrono::steady_clock;

/// \brief A moment on the monotonic clock, handed to every decision.
using time_point = steady_clock::time_point;

/// \brief Length of time used by decisions.
using duration = steady_clock::duration;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace knapweedchute
