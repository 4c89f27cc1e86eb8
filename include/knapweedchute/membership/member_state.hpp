#pragma once

#include <cstdint>
#include <string_view>

namespace knapweedchute {

/// \brief State of a member.
/// \detail At the same incarnation, a later state in this order replaces an earlier one.
enum class member_state : std::uint8_t
{
    joining, ///< Started, but does not serve callers yet.
    alive,   ///< Answers probes and serves callers.
    leaving, ///< Still serves, but is no longer offered to callers.
    suspect, ///< Did not acknowledge a probe; can still refute.
    dead,    ///< Did not refute the suspicion in time.
    left     ///< Announced its shutdown.
};

/// \brief Returns the name of a state for dumps and logs.
[[nodiscard]] auto to_string(member_state state) noexcept -> std::string_view;

} // namespace knapweedchute
