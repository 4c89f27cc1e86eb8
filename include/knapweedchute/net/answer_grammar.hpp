#pragma once

#include <string_view>

namespace knapweedchute {

/// \brief Whether a status lies in the range of the protocol (RFC 9110, section 15).
[[nodiscard]] constexpr auto is_defined_status(unsigned status) noexcept -> bool
{
    constexpr auto first_status = 100U;
    constexpr auto last_status = 599U;
    return status >= first_status && status <= last_status;
}

/// \brief Whether a line of a head begins with a field name and a colon (RFC 9112, section 5).
/// \param line Line with or without its end.
[[nodiscard]] auto is_field_line(std::string_view line) noexcept -> bool;

/// \brief Whether a line of a head begins with a blank and thus continues the line before it, which
///        the protocol no longer allows (RFC 9112, section 5.2).
/// \param unparsed Bytes from the start of a line of the head; may go on beyond the head.
[[nodiscard]] auto has_folded_line(std::string_view unparsed) noexcept -> bool;

} // namespace knapweedchute
