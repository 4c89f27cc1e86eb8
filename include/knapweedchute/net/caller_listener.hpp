#pragma once

#include <knapweedchute/core/address.hpp>
#include <knapweedchute/net/caller_session.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <vector>

namespace knapweedchute {

/// \brief Listens on one address and starts a session for each accepted connection.
class caller_listener
{
public:
    /// \param memory Budget of the answers being written; null: they are not counted.
    /// \param guard  Bounds of all callers together; null: there are none.
    caller_listener(boost::asio::io_context& loop, request_handler& handler, timer_queue& timers,
                    const header_names& names, memory_budget* memory = nullptr,
                    caller_guard* guard = nullptr);
    caller_listener(const caller_listener&) = delete;
    auto operator=(const caller_listener&) -> caller_listener& = delete;

    /// \brief Closes all connections, which use the timers and the budget.
    ~caller_listener();

    /// \brief Starts to listen on an address.
    /// \param reason Filled on failure.
    [[nodiscard]] auto open(const address& where, error& reason) -> bool;

    /// \brief Closes each connection after its next answer.
    auto close_after_answers() -> void;

    /// \brief Stops accepting connections and closes those without a request in progress.
    /// \detail Connections that the system has already accepted for this process are served: their
    ///         callers may have sent a request.
    auto close_idle() -> void;

    /// \brief Number of connections with a request partly read, in progress or being answered.
    [[nodiscard]] auto active_sessions() const -> std::size_t;

private:
    auto accept() -> void;
    auto accept_pending() -> void;
    auto start_session(boost::asio::ip::tcp::socket socket) -> void;
    auto remove_ended_sessions() -> void;
    /// \returns Whether a connection could be closed for a new one.
    [[nodiscard]] auto make_room() -> bool;

    boost::asio::io_context* loop_;
    request_handler* handler_;
    timer_queue* timers_;
    const header_names* names_;
    memory_budget* memory_;
    caller_guard* guard_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<std::weak_ptr<caller_session>> sessions_;
    bool closing_ = false;
};

} // namespace knapweedchute
