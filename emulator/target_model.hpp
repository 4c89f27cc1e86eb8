#pragma once

#include <knapweedchute/core/time.hpp>

#include <cstddef>

namespace knapweedchute::emulator {

/// \brief Capacity and faults of one emulated target.
struct target_model
{
    std::size_t slots = 2;            ///< Requests processed concurrently.
    std::size_t queue = 12;           ///< Requests that wait for a slot; more are rejected.
    double slowdown = 1.0;            ///< Multiple of the normal processing time.
    duration pause{0};                ///< Length of a pause.
    duration pause_every{seconds{1}}; ///< Time from the start of one pause to the next.
    duration phase{0};                ///< Offset of the first pause.
    duration connection_setup{0};     ///< Time for which a new connection occupies a slot.
    double rejected_share = 0.0;      ///< Share of requests that it rejects without cause.
    bool down = false;                ///< Whether it accepts no connection.

    [[nodiscard]] auto operator==(const target_model&) const -> bool = default;
};

} // namespace knapweedchute::emulator
