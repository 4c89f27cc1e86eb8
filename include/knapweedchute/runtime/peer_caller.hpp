#pragma once

#include <knapweedchute/core/counter_set.hpp>
#include <knapweedchute/runtime/network_filter.hpp>
#include <knapweedchute/runtime/peer_call.hpp>
#include <knapweedchute/runtime/peer_stream.hpp>
#include <knapweedchute/wire/envelope.hpp>

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace knapweedchute {

/// \brief Calls other instances over reused TCP connections. May be used from any thread.
class peer_caller
{
public:
    /// \param codec    Signs and verifies messages.
    /// \param filter   Blocks peers in tests; must outlive the caller.
    /// \param counters Counts calls and rejected replies; must outlive the caller.
    peer_caller(envelope codec, const network_filter& filter, counter_set& counters);

    /// \brief Calls a peer and waits for its reply.
    /// \param timeout Limit for each step: connecting, sending and receiving.
    /// \returns The reply, or nothing if the peer is blocked, does not reply in time, sends an
    ///          invalid reply or cannot execute the call.
    [[nodiscard]] auto call(const address& peer, const peer_call& request, milliseconds timeout)
        -> std::optional<peer_reply>;

private:
    [[nodiscard]] auto acquire_stream(const address& peer, milliseconds timeout)
        -> std::optional<peer_stream>;
    auto release_stream(const address& peer, peer_stream stream) -> void;

    envelope codec_;
    const network_filter* filter_;
    counter_set* counters_;
    std::mutex mutex_;
    std::map<address, std::vector<peer_stream>> idle_streams_;
};

} // namespace knapweedchute
