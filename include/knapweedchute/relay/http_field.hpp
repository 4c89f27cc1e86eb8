#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace knapweedchute {

/// \brief One header of an HTTP message.
struct http_field
{
    std::string name;  ///< Name as it was sent.
    std::string value; ///< Value without surrounding blanks.

    [[nodiscard]] auto operator==(const http_field&) const -> bool = default;
};

/// \brief Headers in the order in which they were sent.
using field_list = std::vector<http_field>;

/// \brief Whether two header names are the same; case is ignored.
[[nodiscard]] auto same_name(std::string_view left, std::string_view right) noexcept -> bool;

/// \brief The first header of a name, or null.
[[nodiscard]] auto find_field(const field_list& fields, std::string_view name) noexcept
    -> const http_field*;

/// \brief Removes the headers that concern one connection only, those named in `Connection` too.
auto remove_connection_fields(field_list& fields) -> void;

} // namespace knapweedchute
