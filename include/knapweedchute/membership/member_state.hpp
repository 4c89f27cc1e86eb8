#pragma once

#include <cstdint>
#include <string_view>

namespace knapweedchute {

/// \brief What is believed of a member. At one incarnation a later state replaces an earlier one.
enum class member_state : std::uint8_t
{
    joining, ///< Runs, but does not serve callers yet.
    alive,   ///< Answers probes and serves callers.
    leaving, ///< Still serves, takes no new callers.
    suspect, ///< Missed a probe; may refute.
    dead,    ///< Did not refute in time.
    left     ///< Stopped on purpose.
};

/// \brief Name of a state for dumps and logs.
[[nodiscard]] auto to_string(member_state state) noexcept -> std::string_view;

} // namespace knapweedchute
