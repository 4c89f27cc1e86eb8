#pragma once

#include <knapweedchute/core/address.hpp>
#include <knapweedchute/net/caller_session.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <vector>

namespace knapweedchute {

/// \brief A listening address and the connections accepted there.
class caller_listener
{
public:
    caller_listener(boost::asio::io_context& loop, request_handler& handler, timer_queue& timers,
                    const header_names& names);

    /// \brief Opens the address.
    /// \param reason Filled when it can not be opened.
    [[nodiscard]] auto open(const address& where, error& reason) -> bool;

    /// \brief Makes the next answer on every connection the last one there.
    auto close_after_answers() -> void;

    /// \brief Closes connections without a request, and accepts no more.
    auto close_idle() -> void;

private:
    auto accept() -> void;
    auto forget_ended() -> void;

    boost::asio::io_context* loop_;
    request_handler* handler_;
    timer_queue* timers_;
    const header_names* names_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<std::weak_ptr<caller_session>> sessions_;
    bool closing_ = false;
};

} // namespace knapweedchute
