#pragma once

#include <cstdint>

namespace knapweedchute {

/// \brief How an admitted request ended, as evidence of whether its targets are overloaded.
enum class request_end : std::uint8_t
{
    in_time,    ///< Answered within the latency goal.
    overloaded, ///< Answered late, rejected by full targets, or not answered in time.
    no_evidence ///< The caller left, or a target failed for another reason.
};

} // namespace knapweedchute
