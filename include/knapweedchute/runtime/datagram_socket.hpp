#pragma once

#include <knapweedchute/core/address.hpp>
#include <knapweedchute/core/time.hpp>
#include <knapweedchute/runtime/file_descriptor.hpp>

#include <optional>
#include <string>
#include <utility>

namespace knapweedchute {

/// \brief UDP socket bound to one address.
class datagram_socket
{
public:
    /// \brief Maximum size of a datagram, in bytes.
    static constexpr auto max_datagram_bytes = std::size_t{1'400};

    /// \param bind_address Address to bind.
    explicit datagram_socket(const address& bind_address);

    /// \brief Whether the socket is bound to its address.
    [[nodiscard]] auto is_open() const noexcept -> bool { return static_cast<bool>(socket_); }

    /// \brief Sends a datagram; returns false if the system did not accept it.
    auto send(const address& to, const std::string& content) -> bool;

    /// \brief Waits for a datagram.
    /// \returns The sender and the content, or nothing if none arrived in time.
    [[nodiscard]] auto receive(milliseconds timeout)
        -> std::optional<std::pair<address, std::string>>;

private:
    file_descriptor socket_;
};

} // namespace knapweedchute
