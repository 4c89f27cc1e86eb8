#pragma once

#include <knapweedchute/net/target_connection.hpp>
#include <knapweedchute/relay/timer_queue.hpp>

#include <boost/asio/io_context.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace knapweedchute {

/// \brief Sends calls to one service in sequence over one connection.
/// \detail A connection whose call timed out is not reused, because the late answer could still
///         arrive on it.
class call_client
{
public:
    /// \brief Receives the result of a call, exactly once.
    using listener = exchange_port::listener;

    /// \param where Address of the service.
    call_client(boost::asio::io_context& loop, timer_queue& timers, const address& where);

    /// \brief Queues a call.
    /// \param text    Complete HTTP request.
    /// \param timeout Maximum time from sending the request to receiving the answer.
    auto call(std::string text, duration timeout, listener done) -> void;

    /// \brief Makes the next call open a new connection; no effect while a call is in progress.
    auto renew_connection() -> void;

    /// \brief Closes the connection of the call in progress, which thereby ends; no effect without
    ///        one.
    auto abort_call() -> void;

    /// \brief Encodes an HTTP request, with a JSON body unless `body` is empty.
    /// \param fields More header fields.
    [[nodiscard]] auto encode(std::string_view method, std::string_view target,
                              std::string_view body, const field_list& fields = {}) const
        -> std::string;

private:
    struct pending
    {
        std::string text;
        duration timeout;
        listener done;
    };

    auto start_next_call() -> void;

    boost::asio::io_context* loop_;
    timer_queue* timers_;
    address where_;
    header_names no_names_;
    std::deque<pending> queue_;
    std::shared_ptr<target_connection> connection_;
    bool busy_ = false;
};

} // namespace knapweedchute
