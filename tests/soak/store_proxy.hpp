#pragma once

#include "entry_process.hpp"

#include <knapweedchute/core/address.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
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

    /// \brief Sets whether an instance is refused by reset: each of its connections is reset, some
    ///        20 ms after a call or in place of the answer that it waits for.
    auto set_resetting(std::size_t instance, bool resetting) -> void;

    /// \brief Resets the connections on which an answer is due: above all the waiting watches.
    auto cut_waiting() -> void;

private:
    class connection;

    struct access
    {
        const entry_process* process = nullptr;
        address listener;
        bool resetting = false;
    };

    using socket = boost::asio::ip::tcp::socket;

    auto accept() -> void;
    auto connect_to_listener(socket from) -> void;
    auto remember(const std::shared_ptr<connection>& added) -> void;

    boost::asio::io_context* loop_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<std::shared_ptr<access>> instances_;
    std::vector<std::weak_ptr<connection>> connections_;
};

} // namespace knapweedchute::soak
