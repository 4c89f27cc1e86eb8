#include <knapweedchute/runtime/datagram_socket.hpp>
#include <knapweedchute/runtime/socket_address.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <array>

namespace knapweedchute {

datagram_socket::datagram_socket(const address& where)
{
    auto socket = file_descriptor{::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
    const auto own = impl::socket_address(where);
    if (bind(socket.value(), reinterpret_cast<const sockaddr*>(&own), sizeof(own)) == 0) {
        socket_ = std::move(socket);
    }
}

auto datagram_socket::send(const address& to, const std::string& content) -> bool
{
    const auto target = impl::socket_address(to);
    const auto sent = sendto(socket_.value(), content.data(), content.size(), 0,
                             reinterpret_cast<const sockaddr*>(&target), sizeof(target));
    return sent == static_cast<ssize_t>(content.size());
}

auto datagram_socket::receive(milliseconds timeout)
    -> std::optional<std::pair<address, std::string>>
{
    auto wanted = pollfd{socket_.value(), POLLIN, 0};
    if (poll(&wanted, 1, static_cast<int>(timeout.count())) != 1) {
        return std::nullopt;
    }
    auto buffer = std::array<char, largest_datagram + 1>{};
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
