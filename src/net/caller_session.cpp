#include "message_fields.hpp"

#include <knapweedchute/net/answer_encoder.hpp>
#include <knapweedchute/net/caller_session.hpp>
#include <knapweedchute/relay/refusal_answer.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <charconv>
#include <utility>

namespace knapweedchute {
namespace {

namespace http = boost::beast::http;

/// Bytes of pipelined requests that are buffered while one is in progress.
constexpr auto max_read_ahead_bytes = std::size_t{65'536};
/// Time for the caller to close after the last answer: closing with unread input would send a
/// reset, which can discard the answer.
constexpr auto drain_timeout = milliseconds{1'000};

} // namespace

caller_session::caller_session(boost::asio::ip::tcp::socket socket, request_handler& handler,
                               timer_queue& timers, const header_names& names,
                               memory_budget* memory)
    : socket_{std::move(socket)}, handler_{&handler}, timers_{&timers}, names_{&names},
      limits_{handler.limits()}
{
    if (memory != nullptr) {
        memory_.emplace(*memory, [this] { on_eviction(); });
    }
}

caller_session::~caller_session()
{
    close();
}

auto caller_session::start() -> void
{
    auto ignored = boost::system::error_code{};
    socket_.set_option(boost::asio::ip::tcp::no_delay{true}, ignored);
    reset_parser();
    enter_stage(stage::idle);
    read();
}

auto caller_session::close_if_idle() -> void
{
    if (stage_ == stage::idle && input_.size() == 0) {
        close();
    }
}

auto caller_session::reset_parser() -> void
{
    limits_ = handler_->limits();
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(limits_.header_bytes));
    parser_->body_limit(limits_.body_bytes);
    // An eager parser goes on to the body although the header has exceeded the body limit.
    parser_->eager(false);
}

auto caller_session::read() -> void
{
    if (reading_ || stage_ == stage::closed || input_.size() > max_read_ahead_bytes) {
        return;
    }
    reading_ = true;
    socket_.async_read_some(boost::asio::buffer(chunk_),
                            [self = shared_from_this()](const auto& failure, std::size_t count) {
                                self->reading_ = false;
                                self->on_read(failure, count);
                            });
}

auto caller_session::on_read(const boost::system::error_code& failure, std::size_t count) -> void
{
    if (stage_ == stage::closed) {
        return;
    }
    if (failure) {
        if (stage_ == stage::busy && pending_request_ != 0) {
            handler_->cancel(std::exchange(pending_request_, 0));
        }
        close();
        return;
    }
    if (stage_ != stage::draining) {
        const auto space = input_.prepare(count);
        boost::asio::buffer_copy(space, boost::asio::buffer(chunk_, count));
        input_.commit(count);
        parse();
    }
    read();
}

auto caller_session::parse() -> void
{
    while (input_.size() > 0 && parse_next()) {
    }
}

auto caller_session::parse_next() -> bool
{
    if (stage_ != stage::idle && stage_ != stage::header && stage_ != stage::body) {
        return false;
    }
    if (stage_ == stage::idle) {
        enter_stage(stage::header);
    }
    auto failure = boost::system::error_code{};
    input_.consume(parser_->put(input_.data(), failure));
    if (failure && failure != http::error::need_more) {
        on_parse_error(failure);
        return false;
    }
    if (parser_->is_done()) {
        on_request();
        return true;
    }
    if (parser_->is_header_done()) {
        if (stage_ == stage::header &&
            same_name(std::string_view{parser_->get()[http::field::expect].data(),
                                       parser_->get()[http::field::expect].size()},
                      "100-continue")) {
            static const auto continue_response = std::string{"HTTP/1.1 100 Continue\r\n\r\n"};
            boost::asio::async_write(socket_, boost::asio::buffer(continue_response),
                                     [self = shared_from_this()](const auto&, std::size_t) {});
        }
        enter_stage(stage::body);
    }
    return !failure;
}

auto caller_session::on_parse_error(const boost::system::error_code& failure) -> void
{
    constexpr auto bad_request = 400U;
    constexpr auto body_too_large = 413U;
    constexpr auto header_too_large = 431U;
    if (failure == http::error::header_limit) {
        respond(error_answer(header_too_large, "header too large"), true);
    } else if (failure == http::error::body_limit) {
        respond(error_answer(body_too_large, "body too large"), true);
    } else {
        respond(error_answer(bad_request, failure.message()), true);
    }
}

auto caller_session::on_request() -> void
{
    constexpr auto bad_request = 400U;
    const auto& parsed = parser_->get();
    const auto close = !parsed.keep_alive();
    head_only_ = parsed.method() == http::verb::head;
    if (parsed.count(http::field::host) != 1) {
        respond(error_answer(bad_request, "exactly one Host expected"), true);
        return;
    }
    auto request = to_request();
    enter_stage(stage::busy);
    const auto serial = ++serial_;
    const auto weak = weak_from_this();
    const auto call =
        handler_->handle(std::move(request), [weak, serial, close](const auto& answer) {
            const auto alive = weak.lock();
            if (alive && alive->stage_ == stage::busy && alive->serial_ == serial) {
                alive->pending_request_ = 0;
                alive->respond(answer, close);
            }
        });
    if (stage_ == stage::busy && serial_ == serial) {
        pending_request_ = call;
    }
}

auto caller_session::to_request() -> relayed_request
{
    auto message = parser_->release();
    auto request = relayed_request{};
    request.method = std::string{message.method_string()};
    request.target = std::string{message.target()};
    request.host = std::string{message[http::field::host]};
    request.id = std::string{message[names_->request_id]};
    const auto deadline_text = message[names_->deadline];
    auto deadline_ms = std::int64_t{0};
    const auto read = std::from_chars(deadline_text.data(),
                                      deadline_text.data() + deadline_text.size(), deadline_ms);
    if (read.ec == std::errc{} && deadline_ms >= 0 && !deadline_text.empty()) {
        request.deadline = milliseconds{std::min<std::int64_t>(deadline_ms, 3'600'000)};
    }
    message.erase(http::field::host);
    message.erase(names_->deadline);
    message.erase(names_->expected_target);
    request.fields = impl::forwarded_fields(message.base());
    request.body = std::move(message.body());
    return request;
}

auto caller_session::respond(const relayed_answer& answer, bool close) -> void
{
    close = close || closing_;
    output_ = encode_answer(answer, head_only_, close);
    if (memory_) {
        memory_->resize(output_.capacity());
    }
    enter_stage(stage::writing);
    boost::asio::async_write(socket_, boost::asio::buffer(output_),
                             [self = shared_from_this(), close](const auto& failure, std::size_t) {
                                 if (failure) {
                                     self->close();
                                 } else if (self->stage_ == stage::writing) {
                                     self->on_written(close);
                                 }
                             });
}

auto caller_session::on_written(bool close) -> void
{
    release_output();
    if (close) {
        start_draining();
        return;
    }
    reset_parser();
    enter_stage(stage::idle);
    parse();
    read();
}

auto caller_session::release_output() -> void
{
    // A connection that is kept must not keep the buffer of its largest answer.
    if (output_.capacity() >= memory_reservation::min_reserved) {
        std::string{}.swap(output_);
    }
    if (memory_) {
        memory_->resize(0);
    }
}

auto caller_session::on_eviction() -> void
{
    boost::asio::post(socket_.get_executor(), [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->close();
        }
    });
}

auto caller_session::enter_stage(stage next) -> void
{
    const auto same_header = next == stage_ && next == stage::header;
    stage_ = next;
    if (same_header) {
        return;
    }
    timers_->cancel(std::exchange(timer_, 0));
    auto wait = duration{limits_.idle_timeout};
    if (next == stage::busy || next == stage::closed) {
        return;
    }
    if (next == stage::header) {
        wait = limits_.header_timeout;
    }
    if (next == stage::draining) {
        wait = drain_timeout;
    }
    timer_ = timers_->at(timers_->now() + wait, [weak = weak_from_this()] {
        if (const auto alive = weak.lock()) {
            alive->timer_ = 0;
            alive->on_timeout();
        }
    });
}

auto caller_session::on_timeout() -> void
{
    constexpr auto request_timeout = 408U;
    if (stage_ == stage::header || stage_ == stage::body) {
        respond(error_answer(request_timeout, "request came too slowly"), true);
        return;
    }
    close();
}

auto caller_session::start_draining() -> void
{
    auto ignored = boost::system::error_code{};
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    input_.consume(input_.size());
    enter_stage(stage::draining);
    read();
}

auto caller_session::close() -> void
{
    if (stage_ == stage::closed) {
        return;
    }
    enter_stage(stage::closed);
    if (memory_) {
        memory_->resize(0);
    }
    auto ignored = boost::system::error_code{};
    socket_.close(ignored);
}

} // namespace knapweedchute
