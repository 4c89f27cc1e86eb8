#pragma once

#include <knapweedchute/core/address.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace knapweedchute::soak {

/// \brief Faulty targets, in a thread of their own, whose answers never end.
/// \detail A body without a length goes on until the caller closes, or stalls after some megabytes.
class endless_targets
{
public:
    endless_targets();
    endless_targets(const endless_targets&) = delete;
    auto operator=(const endless_targets&) -> endless_targets& = delete;
    ~endless_targets();

    /// \brief Adds a target before `start`.
    /// \param stalls Whether its bodies stall instead of going on.
    auto add(const address& where, bool stalls) -> void;

    /// \brief Starts to serve.
    auto start() -> void;

private:
    struct session;

    auto accept(boost::asio::ip::tcp::acceptor& from, bool stalls) -> void;
    auto read_request(const std::shared_ptr<session>& to) -> void;
    auto write_block(const std::shared_ptr<session>& to) -> void;

    boost::asio::io_context loop_{1};
    std::vector<std::unique_ptr<boost::asio::ip::tcp::acceptor>> acceptors_;
    std::string block_;
    std::thread thread_;
};

} // namespace knapweedchute::soak
