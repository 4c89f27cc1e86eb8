#pragma once

#include <knapweedchute/core/error.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace knapweedchute {

/// \brief An IPv4 number and a port.
struct address
{
    std::uint32_t ip = 0;   ///< IPv4 number in host byte order.
    std::uint16_t port = 0; ///< Port number.

    [[nodiscard]] auto operator<=>(const address&) const = default;
};

/// \brief Parses text such as `127.0.0.1:8080`.
/// \param text   Address text.
/// \param reason Filled when nothing is returned.
[[nodiscard]] auto parse_address(std::string_view text, error& reason) -> std::optional<address>;

/// \brief Text of the form `127.0.0.1:8080`.
[[nodiscard]] auto to_string(const address& value) -> std::string;

/// \brief The IP number alone, for example `127.0.0.1`.
[[nodiscard]] auto ip_text(const address& value) -> std::string;

} // namespace knapweedchute
