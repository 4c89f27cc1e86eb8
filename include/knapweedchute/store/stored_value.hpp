#pragma once

#include <cstdint>
#include <string>

namespace knapweedchute {

/// \brief Value of a key in the platform's key-value service, with its revision.
struct stored_value
{
    std::uint64_t revision = 0; ///< Revision of this key; 0 means absent.
    std::string value;          ///< Content, up to one megabyte.

    [[nodiscard]] auto operator==(const stored_value&) const -> bool = default;
};

} // namespace knapweedchute
