#include <knapweedchute/runtime/datagram_socket.hpp>
#include <knapweedchute/runtime/socket_address.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <array>

namespace knapweedchute {

datagram_socket::datagram_socket(const address& bind_address)
{
    auto socket = file_descriptor{::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
    const auto native_address = impl::socket_address(bind_address);
    if (bind(socket.value(), reinterpret_cast<const sockaddr*>(&native_address),
             sizeof(native_address)) == 0) {
        socket_ = std::move(socket);
    }
}

auto datagram_socket::send(const address& to, const std::string& content) -> bool
{
    const auto destination = impl::socket_address(to);
    const auto sent = sendto(socket_.value(), content.data(), content.size(), 0,
                             reinterpret_cast<const sockaddr*>(&destination), sizeof(destination));
    return sent == static_cast<ssize_t>(content.size());
}

auto datagram_socket::receive(milliseconds timeout)
    -> std::optional<std::pair<address, std::string>>
{
    auto descriptor = pollfd{socket_.value(), POLLIN, 0};
    if (poll(&descriptor, 1, static_cast<int>(timeout.count())) != 1) {
        return std::nullopt;
    }
    auto buffer = std::array<char, max_datagram_bytes + 1>{};
    auto sender = sockaddr_in{};
    auto size = socklen_t{sizeof(sender)};
    const auto received = recvfrom(socket_.value(), buffer.data(), buffer.size(), 0,
                                   reinterpret_cast<sockaddr*>(&sender), &size);
    if (received <= 0) {
        return std::nullopt;
    }
    return std::pair{address{ntohl(sender.sin_addr.s_addr), ntohs(sender.sin_port)},
                     std::string{buffer.data(), static_cast<std::size_t>(received)}};
}

} // namespace knapweedchute
