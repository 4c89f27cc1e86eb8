#pragma once

#include <knapweedchute/core/address.hpp>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <thread>
#include <vector>

namespace knapweedchute::test {

/// \brief Different ports that were free a moment ago.
[[nodiscard]] inline auto free_ports(std::size_t count) -> std::vector<std::uint16_t>
{
    auto loop = boost::asio::io_context{};
    auto acceptors = std::vector<boost::asio::ip::tcp::acceptor>{};
    auto ports = std::vector<std::uint16_t>{};
    const auto any_port =
        boost::asio::ip::tcp::endpoint{boost::asio::ip::make_address_v4("127.0.0.1"), 0};
    for (auto index = std::size_t{0}; index < count; ++index) {
        acceptors.emplace_back(loop, any_port);
        ports.push_back(acceptors.back().local_endpoint().port());
    }
    return ports;
}

/// \brief A port that was free a moment ago.
[[nodiscard]] inline auto free_port() -> std::uint16_t
{
    return free_ports(1).front();
}

inline constexpr auto loopback_ip = 0x7f000001U;

/// \brief Sends bytes to a port and reads until the other end closes.
[[nodiscard]] inline auto send_raw(std::uint16_t port, const std::string& bytes) -> std::string
{
    auto loop = boost::asio::io_context{};
    auto socket = boost::asio::ip::tcp::socket{loop};
    socket.connect({boost::asio::ip::make_address_v4("127.0.0.1"), port});
    auto failure = boost::system::error_code{};
    boost::asio::write(socket, boost::asio::buffer(bytes), failure);
    auto received = std::string{};
    boost::asio::read(socket, boost::asio::dynamic_buffer(received), failure);
    return received;
}

} // namespace knapweedchute::test
