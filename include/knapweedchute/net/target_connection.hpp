#pragma once

#include <knapweedchute/core/memory_budget.hpp>
#include <knapweedchute/core/memory_reservation.hpp>
#include <knapweedchute/net/impl/message_parser.hpp>
#include <knapweedchute/relay/exchange_port.hpp>
#include <knapweedchute/relay/header_names.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace knapweedchute {

/// \brief Connection to a target that carries one request at a time.
///
/// \detail Closes when bytes arrive that belong to no request, when an answer arrives before its
///         request was sent completely, when its head is malformed, when it exceeds the limits of
///         its order, or when its memory is evicted: a faulty target may send without end. A
///         closed connection is never reused, nor is one whose answer could be a late copy of an
///         earlier one.
class target_connection : public std::enable_shared_from_this<target_connection>
{
public:
    /// \brief Called when the connection is idle again or has closed.
    using idle_listener = std::function<void(const std::shared_ptr<target_connection>&)>;

    /// \param names  Names of the headers of answers.
    /// \param idle   Called after each exchange and when the connection closes.
    /// \param memory Budget of the bodies being received; null: only the order limits them.
    target_connection(boost::asio::io_context& loop, const header_names& names, idle_listener idle,
                      memory_budget* memory = nullptr);

    /// \brief Opens the connection and sends a first request.
    auto open(const address& where, exchange_order order, exchange_port::listener done) -> void;

    /// \brief Sends a request; the connection must be idle.
    auto exchange(exchange_order order, exchange_port::listener done) -> void;

    /// \brief Closes at once; an exchange in progress ends with the status `end`.
    auto close(exchange_status end = exchange_status::unknown) -> void;

    [[nodiscard]] auto closed() const noexcept -> bool { return closed_; }
    [[nodiscard]] auto connected() const noexcept -> bool { return connected_; }
    [[nodiscard]] auto idle_since() const noexcept -> time_point { return idle_since_; }

    /// \brief Time that the target keeps an idle connection open, from its `Keep-Alive` header.
    [[nodiscard]] auto idle_limit() const noexcept -> std::optional<seconds> { return idle_limit_; }

private:
    using parser = impl::message_parser<false>;

    auto begin(exchange_order order, exchange_port::listener done) -> void;
    auto write() -> void;
    auto read() -> void;
    auto on_read(const boost::system::error_code& failure, std::size_t count) -> void;
    auto parse() -> void;
    [[nodiscard]] auto has_valid_head() const -> bool;
    /// \brief Bytes that the parser has not consumed; within a head they begin with a line.
    [[nodiscard]] auto unparsed_input() const -> std::string_view;
    auto on_end_of_stream(bool clean) -> void;
    auto on_answer() -> void;
    [[nodiscard]] auto exceeds_limits() const -> bool;
    [[nodiscard]] auto is_attributable(bool has_id) const -> bool;
    auto read_idle_limit() -> void;
    auto finish(exchange_result result) -> void;
    auto reset_parser() -> void;
    auto reserve_memory() -> void;
    auto on_eviction() -> void;
    auto close_oversized() -> void;

    boost::asio::ip::tcp::socket socket_;
    const header_names* names_;
    idle_listener idle_listener_;
    boost::beast::flat_buffer input_;
    std::array<char, 8'192> chunk_{};
    std::optional<parser> parser_;
    std::optional<memory_reservation> memory_; ///< The body that the parser holds.
    exchange_order order_;
    exchange_port::listener done_;
    time_point idle_since_;
    std::optional<seconds> idle_limit_;
    std::size_t finished_exchanges_ = 0;
    std::size_t received_bytes_ = 0;  ///< Bytes since the request in progress was sent.
    std::size_t interim_answers_ = 0; ///< Interim answers to the request in progress.
    bool connected_ = false;
    bool written_ = false;
    bool closed_ = false;
    bool reusable_ = true;
    bool oversized_ = false; ///< Whether an answer exceeded a limit.
};

} // namespace knapweedchute
