#pragma once

#include <knapweedchute/move/move_result.hpp>

#include <cstdint>
#include <string>

namespace knapweedchute {

/// \brief What all instances agreed on for one order, kept in the platform's store.
struct move_record
{
    std::string to;                            ///< Version that takes over.
    std::uint64_t order = 0;                   ///< Number of the order that it belongs to.
    std::int64_t begun_unix_ms = 0;            ///< When the move began, Unix milliseconds.
    bool handed_over = false;                  ///< Whether the new version gets everything.
    move_result result = move_result::running; ///< How it ended.

    [[nodiscard]] auto operator==(const move_record&) const -> bool = default;
};

} // namespace knapweedchute
