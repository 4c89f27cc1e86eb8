#pragma once

#include <knapweedchute/core/time.hpp>

#include <cstdint>
#include <vector>

namespace knapweedchute::emulator {

/// \brief What the callers of one kind of request got.
struct caller_results
{
    std::uint64_t requests = 0;       ///< Callers' requests, each counted once with its retries.
    std::uint64_t in_time = 0;        ///< Answered within the goal, from the first attempt on.
    std::uint64_t in_time_later = 0;  ///< Rejected at first, then answered within the goal from
                                      ///< the beginning of a later attempt.
    std::uint64_t late = 0;           ///< Answered after the goal in any other way.
    std::uint64_t partial = 0;        ///< Answered without all shards, in time or late.
    std::uint64_t unserved = 0;       ///< Never answered with success.
    std::uint64_t attempts = 0;       ///< Attempts, retries included.
    std::uint64_t rejected_early = 0; ///< Attempts told "not run" within `early_rejection`.
    std::uint64_t rejected_late = 0;  ///< Attempts told "not run" later.
    std::uint64_t failed = 0;         ///< Attempts that ended with another failure.
    std::uint64_t false_not_run = 0;  ///< Attempts told "not run" that a target has run.
    duration slowest_rejection{0};    ///< Longest time until a caller was told "not run".
    std::vector<std::uint64_t> in_time_by_second; ///< Answers in time by second of the request.

    [[nodiscard]] auto operator==(const caller_results&) const -> bool = default;
};

/// \brief Time within which a rejection is early.
inline constexpr auto early_rejection = milliseconds{50};

/// \brief Returns the sum of two results.
[[nodiscard]] auto operator+(caller_results left, const caller_results& right) -> caller_results;

} // namespace knapweedchute::emulator
