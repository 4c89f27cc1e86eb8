#pragma once

#include <knapweedchute/core/address.hpp>
#include <knapweedchute/core/time.hpp>
#include <knapweedchute/runtime/file_descriptor.hpp>

#include <optional>
#include <string>

namespace knapweedchute {

/// \brief A TCP connection between two instances that carries frames.
///
/// \detail A frame is a four-byte big-endian length followed by the content. Memory is allocated
///         for the bytes received, not for the announced length.
class peer_stream
{
public:
    /// \param socket A connected socket.
    explicit peer_stream(file_descriptor socket);

    /// \brief Connects to a peer.
    /// \returns Nothing if the connection is refused or not established in time.
    [[nodiscard]] static auto connect(const address& peer, milliseconds timeout)
        -> std::optional<peer_stream>;

    /// \brief Sends a frame; returns false if it could not be sent completely in time.
    [[nodiscard]] auto send(const std::string& content, milliseconds timeout) -> bool;

    /// \brief Receives a frame; returns nothing if no complete frame arrived in time.
    [[nodiscard]] auto receive(milliseconds timeout) -> std::optional<std::string>;

    /// \brief Whether the connection failed, was closed, or received an invalid frame.
    [[nodiscard]] auto closed() const noexcept -> bool { return closed_; }

    /// \brief Whether the connection is open and has no unread data.
    [[nodiscard]] auto idle() const noexcept -> bool;

private:
    [[nodiscard]] auto receive_bytes(std::size_t count, time_point deadline)
        -> std::optional<std::string>;

    file_descriptor socket_;
    bool closed_ = false;
};

} // namespace knapweedchute
