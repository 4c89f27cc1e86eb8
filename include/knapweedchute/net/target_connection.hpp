#pragma once

#include <knapweedchute/net/impl/http_library.hpp>
#include <knapweedchute/relay/exchange_port.hpp>
#include <knapweedchute/relay/header_names.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace knapweedchute {

/// \brief One connection to a target; carries one request at a time.
///
/// \detail Any byte that belongs to no request ends the connection, and so does an answer that
///         comes before its request has been sent whole: such a connection is never used again.
class target_connection : public std::enable_shared_from_this<target_connection>
{
public:
    /// \brief Told when the connection can carry a request again, or is closed.
    using idle_listener = std::function<void(const std::shared_ptr<target_connection>&)>;

    /// \param names Headers of answers.
    /// \param idle  Told when an exchange is over and when the connection closes.
    target_connection(boost::asio::io_context& loop, const header_names& names, idle_listener idle);

    /// \brief Opens the connection and sends a first request.
    auto open(const address& where, exchange_order order, exchange_port::listener done) -> void;

    /// \brief Sends a request; the connection must be idle.
    auto exchange(exchange_order order, exchange_port::listener done) -> void;

    /// \brief Closes at once; an exchange in progress ends as given.
    auto close(exchange_status end = exchange_status::unknown) -> void;

    [[nodiscard]] auto closed() const noexcept -> bool { return closed_; }
    [[nodiscard]] auto connected() const noexcept -> bool { return connected_; }
    [[nodiscard]] auto idle_since() const noexcept -> time_point { return idle_since_; }

    /// \brief How long the target keeps an idle connection, if it said so.
    [[nodiscard]] auto idle_limit() const noexcept -> std::optional<seconds> { return idle_limit_; }

private:
    using parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    auto begin(exchange_order order, exchange_port::listener done) -> void;
    auto write() -> void;
    auto read() -> void;
    auto on_read(const boost::system::error_code& failure, std::size_t count) -> void;
    auto parse() -> void;
    auto on_end_of_stream(bool clean) -> void;
    auto on_answer() -> void;
    auto note_idle_limit() -> void;
    auto finish(exchange_result result) -> void;
    auto new_parser() -> void;

    boost::asio::ip::tcp::socket socket_;
    const header_names* names_;
    idle_listener idle_;
    boost::beast::flat_buffer input_;
    std::array<char, 8'192> chunk_{};
    std::optional<parser> parser_;
    exchange_order order_;
    exchange_port::listener done_;
    time_point idle_since_;
    std::optional<seconds> idle_limit_;
    std::size_t served_ = 0;
    bool connected_ = false;
    bool written_ = false;
    bool closed_ = false;
    bool reusable_ = true;
};

} // namespace knapweedchute
