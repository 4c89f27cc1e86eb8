#pragma once

#include <knapweedchute/core/error.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedchute {

/// \brief The stored value that names the accepted operators' file.
///
/// \detail The file is stored in parts under keys that contain the change. They are written before
///         the head, so a reader finds either the complete file or none.
struct configuration_head
{
    std::uint64_t version = 0;               ///< Increases by one with each accepted file.
    std::string change;                      ///< Identifier of the change.
    std::string digest;                      ///< Digest of the file's text.
    std::uint64_t parts = 0;                 ///< Number of stored parts.
    std::string previous_change;             ///< Identifier of the previous change.
    std::uint64_t previous_parts = 0;        ///< Number of stored parts of the previous file.
    std::vector<std::string> recent_changes; ///< Latest changes, newest first.

    [[nodiscard]] auto operator==(const configuration_head&) const -> bool = default;
};

/// \brief Returns the 128-bit XXH3 digest of a text in hexadecimal.
[[nodiscard]] auto digest_of(std::string_view text) -> std::string;

/// \brief Encodes a head as JSON text.
[[nodiscard]] auto encode_head(const configuration_head& head) -> std::string;

/// \brief Decodes a head from JSON text.
/// \param reason Filled when nothing is returned.
[[nodiscard]] auto decode_head(std::string_view text, error& reason)
    -> std::optional<configuration_head>;

} // namespace knapweedchute
