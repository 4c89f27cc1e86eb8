#pragma once

#include <knapweedchute/net/target_connection.hpp>
#include <knapweedchute/relay/timer_queue.hpp>

#include <boost/asio/io_context.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace knapweedchute {

/// \brief Calls to one service, one after the other, over one connection.
/// \detail A connection that lost an answer is not used again: it could still deliver it.
class call_client
{
public:
    /// \brief Receives the end of a call, once.
    using listener = exchange_port::listener;

    /// \param where Address of the service.
    call_client(boost::asio::io_context& loop, timer_queue& timers, const address& where);

    /// \brief Queues a call.
    /// \param text    Whole HTTP request.
    /// \param timeout Time from sending to the answer.
    auto call(std::string text, duration timeout, listener done) -> void;

    /// \brief Uses a new connection for the next call, unless one is in progress.
    auto renew() -> void;

    /// \brief Text of a call with a JSON body, or without one.
    [[nodiscard]] auto encode(std::string_view method, std::string_view target,
                              std::string_view body) const -> std::string;

private:
    struct pending
    {
        std::string text;
        duration timeout;
        listener done;
    };

    auto next() -> void;

    boost::asio::io_context* loop_;
    timer_queue* timers_;
    address where_;
    header_names no_names_;
    std::deque<pending> queue_;
    std::shared_ptr<target_connection> connection_;
    bool busy_ = false;
};

} // namespace knapweedchute
