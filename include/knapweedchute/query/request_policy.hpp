#pragma once

#include <knapweedchute/core/time.hpp>

#include <cstddef>

namespace knapweedchute {

/// \brief Bounds and switches of the request path of one service.
struct request_policy
{
    bool hedge = true;                        ///< Whether slow parts are hedged.
    bool eject = true;                        ///< Whether failing targets are ejected.
    bool limit_cold = true;                   ///< Whether cold targets are limited.
    double extra_ratio = 0.04;                ///< Hedges and retries per ordinary request.
    double extra_burst = 10.0;                ///< Hedges and retries saved up at most.
    std::size_t most_attempts = 3;            ///< Attempts per part, the first included.
    std::size_t failures_to_eject = 3;        ///< Failures in a row before ejection.
    duration ejection = seconds{5};           ///< First ejection; grows with repetition.
    duration share_hold = seconds{2};         ///< Delay before a larger share is used.
    duration zone_penalty = milliseconds{1};  ///< Cost of leaving the own availability zone.
    duration answer_margin = milliseconds{2}; ///< Time kept for the way back to the caller.

    [[nodiscard]] auto operator==(const request_policy&) const -> bool = default;
};

} // namespace knapweedchute
