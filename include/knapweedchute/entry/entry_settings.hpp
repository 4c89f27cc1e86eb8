#pragma once

#include <knapweedchute/core/address.hpp>
#include <knapweedchute/core/time.hpp>
#include <knapweedchute/relay/extra_request_window.hpp>

#include <optional>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief Settings of an entry process.
struct entry_settings
{
    std::string instance;                 ///< Unique name.
    std::string availability_zone;        ///< Availability zone that it runs in.
    address caller_address;               ///< Where callers connect.
    address readiness_address;            ///< Where the platform asks whether it is ready.
    address directory_address;            ///< Where callers ask for addresses.
    address admin_address;                ///< Where operators read state and metrics.
    address peer_address;                 ///< Where peers send datagrams.
    std::uint32_t processor_permil = 0;   ///< Part of a core that it may use, in thousandths.
    std::vector<address> seeds;           ///< Peers to join through.
    address store_address;                ///< The platform's key-value service.
    extra_request_limits extras;          ///< Bound of hedges and retries over all instances.
    milliseconds address_lifetime{1'000}; ///< How long callers keep an address answer.
    milliseconds stop_grace{6'000};       ///< From the signal to stop until the process is killed.
};

} // namespace knapweedchute
