#pragma once

#include <knapweedchute/membership/peer_message.hpp>

namespace knapweedchute {

/// \brief Datagram to be sent to a peer.
struct outgoing
{
    address to;           ///< Receiver.
    peer_message message; ///< Content.

    [[nodiscard]] auto operator==(const outgoing&) const -> bool = default;
};

} // namespace knapweedchute
