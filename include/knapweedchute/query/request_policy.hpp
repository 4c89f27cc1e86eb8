#pragma once

#include <knapweedchute/core/time.hpp>

#include <cstddef>

namespace knapweedchute {

/// \brief Limits and feature switches of the request path of one service.
struct request_policy
{
    bool hedge = true;                        ///< Whether slow parts are hedged.
    bool eject = true;                        ///< Whether failing targets are ejected.
    bool limit_cold = true;                   ///< Whether cold targets are limited.
    double extra_ratio = 0.04;                ///< Hedges and retries per ordinary request.
    double extra_burst = 10.0;                ///< Maximum number of saved-up hedges and retries.
    std::size_t max_attempts = 3;             ///< Attempts per part, the first included.
    std::size_t failures_to_eject = 3;        ///< Consecutive failures that eject a target.
    duration base_ejection_time = seconds{5}; ///< First ejection; doubles, up to 16-fold.
    duration share_hold = seconds{2};         ///< Delay before an increased share takes effect.
    duration zone_penalty = milliseconds{1};  ///< Cost of a replica in another availability zone.
    duration answer_margin = milliseconds{2}; ///< Reserved for returning the answer to the caller.

    [[nodiscard]] auto operator==(const request_policy&) const -> bool = default;
};

} // namespace knapweedchute
