#include <knapweedchute/runtime/peer_call.hpp>
#include <knapweedchute/runtime/peer_stream.hpp>
#include <knapweedchute/runtime/socket_address.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

namespace knapweedchute {
namespace {

constexpr auto length_bytes = std::size_t{4};
constexpr auto chunk_bytes = std::size_t{65'536};

auto wait_until_ready(int socket, short events, time_point deadline) -> bool
{
    auto descriptor = pollfd{socket, events, 0};
    const auto remaining = std::chrono::ceil<milliseconds>(deadline - steady_clock::now()).count();
    return remaining > 0 && poll(&descriptor, 1, static_cast<int>(remaining)) == 1;
}

} // namespace

peer_stream::peer_stream(file_descriptor socket) : socket_{std::move(socket)} {}

auto peer_stream::connect(const address& peer, milliseconds timeout) -> std::optional<peer_stream>
{
    auto socket = file_descriptor{::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
    const auto enabled = 1;
    setsockopt(socket.value(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    const auto destination = impl::socket_address(peer);
    const auto result = ::connect(socket.value(), reinterpret_cast<const sockaddr*>(&destination),
                                  sizeof(destination));
    if (result != 0 && errno != EINPROGRESS) {
        return std::nullopt;
    }
    if (!wait_until_ready(socket.value(), POLLOUT, steady_clock::now() + timeout)) {
        return std::nullopt;
    }
    auto socket_error = 0;
    auto size = socklen_t{sizeof(socket_error)};
    getsockopt(socket.value(), SOL_SOCKET, SO_ERROR, &socket_error, &size);
    return socket_error == 0 ? std::optional{peer_stream{std::move(socket)}} : std::nullopt;
}

auto peer_stream::send(const std::string& content, milliseconds timeout) -> bool
{
    const auto deadline = steady_clock::now() + timeout;
    const auto length = htonl(static_cast<std::uint32_t>(content.size()));
    auto bytes = std::string(length_bytes, '\0');
    std::memcpy(bytes.data(), &length, length_bytes);
    bytes += content;
    auto sent = std::size_t{0};
    while (sent < bytes.size()) {
        const auto count =
            ::send(socket_.value(), bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count > 0) {
            sent += static_cast<std::size_t>(count);
            continue;
        }
        const auto would_block = count < 0 && (errno == EAGAIN || errno == EINTR);
        if (!would_block || !wait_until_ready(socket_.value(), POLLOUT, deadline)) {
            return false;
        }
    }
    return true;
}

auto peer_stream::receive(milliseconds timeout) -> std::optional<std::string>
{
    const auto deadline = steady_clock::now() + timeout;
    const auto header = receive_bytes(length_bytes, deadline);
    if (!header) {
        return std::nullopt;
    }
    auto length = std::uint32_t{0};
    std::memcpy(&length, header->data(), length_bytes);
    length = ntohl(length);
    auto content = length <= max_peer_frame_bytes ? receive_bytes(length, deadline) : std::nullopt;
    closed_ = closed_ || !content;
    return content;
}

auto peer_stream::idle() const noexcept -> bool
{
    auto byte = char{0};
    const auto received = recv(socket_.value(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && errno == EAGAIN;
}

auto peer_stream::receive_bytes(std::size_t count, time_point deadline)
    -> std::optional<std::string>
{
    auto bytes = std::string{};
    auto chunk = std::array<char, chunk_bytes>{};
    while (bytes.size() < count) {
        const auto chunk_limit = std::min(chunk.size(), count - bytes.size());
        const auto received = recv(socket_.value(), chunk.data(), chunk_limit, 0);
        if (received > 0) {
            bytes.append(chunk.data(), static_cast<std::size_t>(received));
            continue;
        }
        const auto would_block = received < 0 && (errno == EAGAIN || errno == EINTR);
        if (!would_block || !wait_until_ready(socket_.value(), POLLIN, deadline)) {
            closed_ = closed_ || !would_block || !bytes.empty();
            return std::nullopt;
        }
    }
    return bytes;
}

} // namespace knapweedchute
