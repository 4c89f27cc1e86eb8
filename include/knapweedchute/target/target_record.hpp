#pragma once

#include <knapweedchute/core/address.hpp>
#include <knapweedchute/core/time.hpp>

#include <cstdint>
#include <string>

namespace knapweedchute {

/// \brief Properties of a target as published by the target itself.
/// \detail A record describes one lifetime, from a start of the target to its end.
struct target_record
{
    std::string id;         ///< Identity that requests carry; another target may reuse the address.
    std::string service;    ///< Service that it belongs to.
    address target_address; ///< Accepts connections.
    std::string availability_zone;  ///< Availability zone.
    std::string version;            ///< Version of its software.
    std::int64_t slots = 1;         ///< Requests that it processes concurrently.
    std::int64_t start_unix_ms = 0; ///< Start of this lifetime, in Unix milliseconds.
    bool draining = false;          ///< Whether it is shutting down and accepts no new requests.
    time_point cold_until;          ///< End of the warm-up with few requests; zero: it is warm.

    [[nodiscard]] auto operator==(const target_record&) const -> bool = default;
};

} // namespace knapweedchute
