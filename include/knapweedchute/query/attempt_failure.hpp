#pragma once

#include <knapweedchute/core/outcome.hpp>

#include <cstdint>
#include <string_view>

namespace knapweedchute {

/// \brief Reasons why an attempt at a target fails.
enum class attempt_failure : std::uint8_t
{
    not_connected, ///< No connection was made; nothing was sent.
    shed,          ///< The target was overloaded and refused without executing.
    leaving,       ///< The target is draining and refused without executing.
    snapshot_gone, ///< The target no longer holds the snapshot.
    silent,        ///< No answer on a reused connection.
    timed_out,     ///< No answer on a new connection.
    broken,        ///< The answer was truncated, malformed or for another request.
    failed,        ///< The target reported an error.
    peer_failed    ///< The instance that the attempt was forwarded to failed.
};

/// \brief Name of a failure in logs and refusal bodies.
[[nodiscard]] auto to_string(attempt_failure failure) noexcept -> std::string_view;

/// \brief Whether the request may have executed before the failure.
[[nodiscard]] auto outcome_of(attempt_failure failure) noexcept -> outcome;

/// \brief Whether the failure counts towards ejection of the target.
[[nodiscard]] auto counts_against_target(attempt_failure failure) noexcept -> bool;

} // namespace knapweedchute
