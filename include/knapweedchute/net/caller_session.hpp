#pragma once

#include <knapweedchute/core/memory_budget.hpp>
#include <knapweedchute/core/memory_reservation.hpp>
#include <knapweedchute/net/caller_guard.hpp>
#include <knapweedchute/net/impl/message_parser.hpp>
#include <knapweedchute/net/request_handler.hpp>
#include <knapweedchute/relay/header_names.hpp>
#include <knapweedchute/relay/timer_queue.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace knapweedchute {

/// \brief Reads the requests of one caller connection in sequence and writes their answers.
///
/// \detail Continues to read while a request is in progress, so that a disconnect is detected at
///         once. A request that is malformed, too large or too slow gets an error answer, and the
///         connection is closed.
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
    /// \param memory Budget of the answers being written; null: they are not counted.
    /// \param guard  Bounds of all callers together; null: there are none.
    caller_session(boost::asio::ip::tcp::socket socket, request_handler& handler,
                   timer_queue& timers, const header_names& names, memory_budget* memory,
                   caller_guard* guard = nullptr);
    ~caller_session();
    caller_session(const caller_session&) = delete;
    auto operator=(const caller_session&) -> caller_session& = delete;

    /// \brief Starts to read requests.
    auto start() -> void;

    /// \brief Closes the connection after the next answer.
    auto close_after_answer() -> void { closing_ = true; }

    /// \brief Whether a request is partly read, in progress or being answered.
    [[nodiscard]] auto active() const noexcept -> bool
    {
        return stage_ != stage::idle && stage_ != stage::closed;
    }

    /// \brief Since when the session has waited for a complete request; empty while one is in
    ///        progress or being answered, or if the connection is closed.
    [[nodiscard]] auto waiting_since() const -> std::optional<time_point>;

    /// \brief Closes the connection at once.
    auto close() -> void;

    /// \brief Closes the connection if no request is in progress or partly read.
    auto close_if_idle() -> void;

private:
    using parser = impl::message_parser<true>;

    /// \brief The event that the session waits for.
    enum class stage
    {
        idle,     ///< First byte of a request.
        header,   ///< Rest of the header.
        body,     ///< Rest of the body.
        busy,     ///< Answer from the handler.
        writing,  ///< End of the write.
        draining, ///< Close by the caller after the last answer.
        closed
    };

    auto read() -> void;
    auto on_read(const boost::system::error_code& failure, std::size_t count) -> void;
    auto parse_and_read() -> void;
    auto parse() -> void;
    auto begin_body() -> void;
    auto update_account() -> void;
    auto give_up() -> void;
    auto set_timer(duration wait) -> void;
    [[nodiscard]] auto body_wait() const -> duration;
    auto parse_next() -> bool;
    auto on_parse_error(const boost::system::error_code& failure) -> void;
    auto on_framing_too_dear() -> void;
    auto on_request() -> void;
    auto respond(const relayed_answer& answer, bool close) -> void;
    auto on_written(bool close) -> void;
    auto release_output() -> void;
    auto on_eviction() -> void;
    auto enter_stage(stage next) -> void;
    auto on_timeout() -> void;
    auto start_draining() -> void;
    auto reset_parser() -> void;
    [[nodiscard]] auto to_request() -> relayed_request;

    boost::asio::ip::tcp::socket socket_;
    request_handler* handler_;
    timer_queue* timers_;
    const header_names* names_;
    caller_limits limits_;
    boost::beast::flat_buffer input_;
    std::array<char, 2'048> chunk_{};
    /// For bodies; a connection that waits for a request holds only the small one.
    std::unique_ptr<std::array<char, 8'192>> body_chunk_;
    std::optional<parser> parser_;
    std::string output_;
    std::optional<memory_reservation> memory_; ///< The answer in `output_`.
    caller_guard* guard_;
    std::optional<caller_account::holding> holding_;
    std::size_t request_bytes_ = 0;   ///< Memory of the request in progress.
    std::size_t body_wire_bytes_ = 0; ///< Bytes of the current body with its framing.
    time_point body_ends_;
    time_point idle_since_;
    std::uint64_t pending_request_ = 0;
    std::uint64_t serial_ = 0;
    timer_id timer_ = 0;
    stage stage_ = stage::idle;
    bool closing_ = false;
    bool head_only_ = false;
    bool reading_ = false;
    bool parse_posted_ = false; ///< Whether the rest of the input waits for its turn.
};

} // namespace knapweedchute
