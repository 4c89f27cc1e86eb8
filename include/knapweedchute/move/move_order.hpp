#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/move/evidence_row.hpp>

#include <cstdint>
#include <string>

namespace knapweedchute {

/// \brief An operator's order to move a service to targets of another version.
struct move_order
{
    std::string service;      ///< Service that moves.
    std::string to;           ///< Version that takes over.
    milliseconds duration{0}; ///< Time within which the move should have ended.
    std::uint64_t number = 0; ///< Tells orders for the same version apart; a later one is higher.

    [[nodiscard]] auto operator==(const move_order&) const -> bool = default;
};

/// \brief Identity of the move that an order asks for.
[[nodiscard]] auto key_of_move(const move_order& order) -> move_key;

} // namespace knapweedchute
