#pragma once

#include <knapweedchute/core/address.hpp>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <thread>

namespace knapweedchute::test {

/// \brief A port that was free a moment ago.
[[nodiscard]] inline auto free_port() -> std::uint16_t
{
    auto loop = boost::asio::io_context{};
    auto acceptor =
        boost::asio::ip::tcp::acceptor{loop, {boost::asio::ip::make_address_v4("127.0.0.1"), 0}};
    return acceptor.local_endpoint().port();
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
