#pragma once

namespace knapweedchute {

/// \brief Whether a status lies in the range of the protocol (RFC 9110, section 15).
[[nodiscard]] constexpr auto is_defined_status(unsigned status) noexcept -> bool
{
    constexpr auto first_status = 100U;
    constexpr auto last_status = 599U;
    return status >= first_status && status <= last_status;
}

} // namespace knapweedchute
