#pragma once

#include <knapweedchute/core/address.hpp>
#include <knapweedchute/core/time.hpp>

#include <cstdint>
#include <string>

namespace knapweedchute {

/// \brief One lifetime of a target as it describes itself.
struct target_record
{
    std::string id;                ///< Identity that requests name; an address may change hands.
    std::string service;           ///< Service that it belongs to.
    address where;                 ///< Where it accepts connections.
    std::string availability_zone; ///< Availability zone.
    std::string version;           ///< Version of its software.
    std::int64_t slots = 1;        ///< Requests that it works on at once.
    std::int64_t born_unix_ms = 0; ///< Start of this lifetime, Unix milliseconds.
    bool draining = false;         ///< Whether it is leaving.
    time_point cold_until;         ///< Until when it bears few requests only; zero: it is warm.

    [[nodiscard]] auto operator==(const target_record&) const -> bool = default;
};

} // namespace knapweedchute
