#pragma once

#include <knapweedchute/config/operators_file.hpp>

#include <cstdint>
#include <string>

namespace knapweedchute {

/// \brief An accepted operators' file and its version.
struct configuration
{
    std::uint64_t version = 0; ///< Increases by one with each accepted file.
    std::string change;        ///< Identifier of the change that created it.
    std::string text;          ///< The file as accepted.
    operators_file file;       ///< The file decoded.

    [[nodiscard]] auto operator==(const configuration&) const -> bool = default;
};

} // namespace knapweedchute
