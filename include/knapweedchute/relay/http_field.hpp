#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace knapweedchute {

/// \brief One header field of an HTTP message.
struct http_field
{
    std::string name;  ///< Name as sent.
    std::string value; ///< Value without surrounding whitespace.

    [[nodiscard]] auto operator==(const http_field&) const -> bool = default;
};

/// \brief Header fields in the order in which they were sent.
using field_list = std::vector<http_field>;

/// \brief Whether two header names are equal, ignoring case.
[[nodiscard]] auto same_name(std::string_view left, std::string_view right) noexcept -> bool;

/// \brief Returns the first header with a name, or null.
[[nodiscard]] auto find_field(const field_list& fields, std::string_view name) noexcept
    -> const http_field*;

/// \brief Removes the hop-by-hop headers, including those listed in `Connection`.
auto remove_connection_fields(field_list& fields) -> void;

} // namespace knapweedchute
