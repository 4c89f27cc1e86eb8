#pragma once

#include "entry_process.hpp"

#include <knapweedchute/core/address.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <utility>
#include <vector>

namespace knapweedchute::soak {

/// \brief The address at which all instances call the store: each connection is joined to the
///        listener that serves the instance which opened it.
class store_front
{
public:
    /// \throws boost::system::system_error if the address can't be opened.
    store_front(boost::asio::io_context& loop, const address& where);

    /// \brief Names the listener of an instance.
    /// \param process The instance; must outlive this object.
    auto add_instance(const entry_process& process, const address& listener) -> void;

private:
    using socket = boost::asio::ip::tcp::socket;

    auto accept() -> void;
    auto join(socket from) -> void;

    boost::asio::io_context* loop_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<std::pair<const entry_process*, address>> instances_;
};

} // namespace knapweedchute::soak
