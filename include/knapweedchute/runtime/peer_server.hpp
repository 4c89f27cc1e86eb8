#pragma once

#include <knapweedchute/core/counter_set.hpp>
#include <knapweedchute/runtime/network_filter.hpp>
#include <knapweedchute/runtime/peer_call.hpp>
#include <knapweedchute/runtime/peer_stream.hpp>
#include <knapweedchute/wire/envelope.hpp>

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <thread>

namespace knapweedchute {

/// \brief Answers the calls of other instances, one thread per connection.
class peer_server
{
public:
    /// \brief Executes a call; may block until the call's deadline.
    using handler = std::function<peer_reply(const peer_call&)>;

    /// \brief Maximum number of open connections; further ones are closed immediately.
    static constexpr auto max_connections = std::size_t{256};

    /// \param listen_address Address to listen on.
    /// \param codec          Verifies and signs messages.
    /// \param counters       Counts rejected messages; must outlive the server.
    /// \param handle         Executes calls, on the thread of their connection.
    peer_server(const address& listen_address, envelope codec, counter_set& counters,
                handler handle);
    peer_server(const peer_server&) = delete;
    auto operator=(const peer_server&) -> peer_server& = delete;
    ~peer_server();

    /// \brief Whether the server listens on its address.
    [[nodiscard]] auto listening() const noexcept -> bool { return static_cast<bool>(socket_); }

private:
    struct connection
    {
        std::thread thread;
        std::atomic<bool> ended{false};
    };

    auto accept_loop() -> void;
    auto serve(peer_stream& stream) -> void;
    auto reap(bool all) -> void;

    envelope codec_;
    counter_set* counters_;
    handler handle_;
    file_descriptor socket_;
    std::atomic<bool> stopping_{false};
    std::list<connection> connections_;
    std::thread thread_;
};

} // namespace knapweedchute
