#pragma once

#include "entry_process.hpp"

#include <knapweedchute/core/address.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <utility>
#include <vector>

namespace knapweedchute::soak {

/// \brief Accepts connections at the address of the store and forwards each to the listener of the
///        instance that opened it, as all instances of a deployment call the same address.
class store_proxy
{
public:
    /// \throws boost::system::system_error if the address can't be opened.
    store_proxy(boost::asio::io_context& loop, const address& where);

    /// \brief Names the listener of an instance.
    /// \param process The instance; must outlive this object.
    auto add_instance(const entry_process& process, const address& listener) -> void;

private:
    using socket = boost::asio::ip::tcp::socket;

    auto accept() -> void;
    auto connect_to_listener(socket from) -> void;

    boost::asio::io_context* loop_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<std::pair<const entry_process*, address>> instances_;
};

} // namespace knapweedchute::soak
