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

/// \brief Returns the value of the first header with a name, or an empty text.
[[nodiscard]] auto field_value(const field_list& fields, std::string_view name) noexcept
    -> std::string_view;

/// \brief Removes all headers with a name.
auto remove_field(field_list& fields, std::string_view name) -> void;

/// \brief Appends the line of one header to the text of a message.
auto append_field(std::string& text, std::string_view name, std::string_view value) -> void;

/// \brief Returns a text without the blanks and tabs around it.
[[nodiscard]] auto without_blanks(std::string_view text) noexcept -> std::string_view;

/// \brief Removes the hop-by-hop headers, including those listed in `Connection`.
auto remove_connection_fields(field_list& fields) -> void;

/// \brief Removes what belongs to one message on one connection: its length and the hop-by-hop
///        headers.
auto remove_message_fields(field_list& fields) -> void;

} // namespace knapweedchute
