#include <knapweedchute/net/answer_encoder.hpp>
#include <knapweedchute/net/caller_session.hpp>
#include <knapweedchute/relay/refusal_answer.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
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
/// Pieces of a request that are parsed before others get their turn.
constexpr auto max_steps_per_turn = 256;
/// A session, its socket and its timer, without its buffers.
constexpr auto session_bytes = std::size_t{4'096};
constexpr auto memory_retry_after = seconds{1};

auto read_deadline(std::string_view text) -> std::optional<milliseconds>
{
    auto deadline_ms = std::int64_t{0};
    const auto read = std::from_chars(text.data(), text.data() + text.size(), deadline_ms);
    if (read.ec != std::errc{} || deadline_ms < 0 || text.empty()) {
        return std::nullopt;
    }
    return milliseconds{std::min<std::int64_t>(deadline_ms, 3'600'000)};
}

} // namespace

caller_session::caller_session(boost::asio::ip::tcp::socket socket, request_handler& handler,
                               timer_queue& timers, const header_names& names,
                               memory_budget* memory, caller_guard* guard)
    : socket_{std::move(socket)}, handler_{&handler}, timers_{&timers}, names_{&names},
      limits_{handler.limits()}, guard_{guard}
{
    if (memory != nullptr) {
        memory_.emplace(*memory, [this] { on_eviction(); });
    }
    if (guard_ != nullptr) {
        guard_->connection_opened();
        holding_.emplace(guard_->account(), [this] {
            guard_->count(caller_end::memory);
            boost::asio::post(socket_.get_executor(), [weak = weak_from_this()] {
                if (const auto self = weak.lock()) {
                    self->give_up();
                }
            });
        });
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
    update_account();
    read();
}

auto caller_session::waiting_since() const -> std::optional<time_point>
{
    const auto waits = stage_ == stage::idle || stage_ == stage::header || stage_ == stage::body ||
                       stage_ == stage::draining;
    return waits ? std::optional{idle_since_} : std::nullopt;
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
    if (guard_ != nullptr) {
        limits_ = servable_limits(limits_, guard_->account().limit());
    }
    parser_.emplace(impl::message_limits{limits_.header_bytes, limits_.body_bytes});
}

auto caller_session::read() -> void
{
    // While a request is being read, the parser bounds what waits.
    const auto reads_ahead = stage_ == stage::busy || stage_ == stage::writing;
    if (reading_ || parse_posted_ || stage_ == stage::closed ||
        (reads_ahead && input_.size() > max_read_ahead_bytes)) {
        return;
    }
    reading_ = true;
    if (stage_ != stage::body) {
        body_chunk_.reset();
    } else if (!body_chunk_) {
        body_chunk_ = std::make_unique<std::array<char, 8'192>>();
    }
    const auto space =
        body_chunk_ ? boost::asio::buffer(*body_chunk_) : boost::asio::buffer(chunk_);
    socket_.async_read_some(space,
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
        const auto* const bytes = body_chunk_ ? body_chunk_->data() : chunk_.data();
        boost::asio::buffer_copy(space, boost::asio::buffer(bytes, count));
        input_.commit(count);
        if (stage_ == stage::body) {
            set_timer(body_wait());
        }
    }
    parse_and_read();
}

auto caller_session::parse_and_read() -> void
{
    parse();
    update_account();
    read();
}

auto caller_session::parse() -> void
{
    for (auto steps = 0; input_.size() > 0 && steps < max_steps_per_turn; ++steps) {
        if (!parse_next()) {
            return;
        }
    }
    if (input_.size() > 0 && !std::exchange(parse_posted_, true)) {
        boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
            self->parse_posted_ = false;
            self->parse_and_read();
        });
    }
}

auto caller_session::parse_next() -> bool
{
    if (stage_ != stage::idle && stage_ != stage::header && stage_ != stage::body) {
        return false;
    }
    if (holding_ && holding_->ended()) {
        return false;
    }
    if (stage_ == stage::idle) {
        // Other limits may have come into force since the last request.
        reset_parser();
        enter_stage(stage::header);
    }
    auto failure = boost::system::error_code{};
    const auto consumed = parser_->put(input_.data(), failure);
    input_.consume(consumed);
    if (stage_ == stage::body) {
        body_wire_bytes_ += consumed;
        const auto framing_bytes = body_wire_bytes_ - parser_->message().body.size();
        if (failure == http::error::header_limit || framing_too_dear(framing_bytes, limits_)) {
            on_framing_too_dear();
            return false;
        }
    }
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
            same_name(field_value(parser_->message().fields, "Expect"), "100-continue")) {
            static const auto continue_response = std::string{"HTTP/1.1 100 Continue\r\n\r\n"};
            boost::asio::async_write(socket_, boost::asio::buffer(continue_response),
                                     [self = shared_from_this()](const auto&, std::size_t) {});
        }
        if (stage_ == stage::header) {
            begin_body();
        }
    }
    return !failure;
}

auto caller_session::begin_body() -> void
{
    const auto stated = field_value(parser_->message().fields, names_->deadline);
    const auto longest = guard_ != nullptr ? guard_->bounds().body_time : caller_bounds{}.body_time;
    body_ends_ = timers_->now() + body_time(read_deadline(stated), limits_, longest);
    body_wire_bytes_ = 0;
    enter_stage(stage::body);
}

auto caller_session::body_wait() const -> duration
{
    return std::min<duration>(limits_.idle_timeout, body_ends_ - timers_->now());
}

auto caller_session::update_account() -> void
{
    if (!holding_ || stage_ == stage::closed) {
        return;
    }
    auto bytes = session_bytes + input_.capacity() + request_bytes_;
    bytes += body_chunk_ ? body_chunk_->size() : 0;
    if (stage_ == stage::header || stage_ == stage::body) {
        bytes += parser_->held_bytes();
    }
    if (stage_ == stage::body) {
        const auto promised = parser_->content_length();
        const auto reserved = parser_->message().body.capacity();
        bytes +=
            promised && *promised > reserved ? static_cast<std::size_t>(*promised) - reserved : 0;
    }
    // Larger answers are in the account of answers.
    bytes += output_.capacity() < memory_reservation::min_reserved ? output_.capacity() : 0;
    holding_->set(bytes, stage_ == stage::busy || stage_ == stage::writing);
}

auto caller_session::give_up() -> void
{
    const auto begun = stage_ == stage::idle && input_.size() > 0;
    if (begun || stage_ == stage::header || stage_ == stage::body) {
        respond(not_run_answer("memory for requests is used up", memory_retry_after), true);
        return;
    }
    if (stage_ == stage::busy && pending_request_ != 0) {
        handler_->cancel(std::exchange(pending_request_, 0));
    }
    close();
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

auto caller_session::on_framing_too_dear() -> void
{
    constexpr auto bad_request = 400U;
    if (guard_ != nullptr) {
        guard_->count(caller_end::framing);
    }
    respond(error_answer(bad_request, "chunks cost far more than they carry"), true);
}

auto caller_session::on_request() -> void
{
    constexpr auto bad_request = 400U;
    const auto& parsed = parser_->message();
    const auto close = !parser_->keep_alive();
    head_only_ = parsed.method == "HEAD";
    const auto hosts =
        std::count_if(parsed.fields.begin(), parsed.fields.end(),
                      [](const auto& field) { return same_name(field.name, "Host"); });
    if (hosts != 1) {
        respond(error_answer(bad_request, "exactly one Host expected"), true);
        return;
    }
    request_bytes_ = parser_->held_bytes();
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
    request.method = std::move(message.method);
    request.target = std::move(message.target);
    request.host = field_value(message.fields, "Host");
    request.id = field_value(message.fields, names_->request_id);
    request.deadline = read_deadline(field_value(message.fields, names_->deadline));
    remove_field(message.fields, "Host");
    remove_field(message.fields, names_->deadline);
    remove_field(message.fields, names_->expected_target);
    remove_message_fields(message.fields);
    request.fields = std::move(message.fields);
    request.body = std::move(message.body);
    return request;
}

auto caller_session::respond(const relayed_answer& answer, bool close) -> void
{
    close = close || closing_;
    output_ = encode_answer(answer, head_only_, close);
    if (memory_) {
        memory_->resize(output_.capacity());
    }
    request_bytes_ = 0;
    enter_stage(stage::writing);
    update_account();
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
    if (input_.size() == 0 && input_.capacity() >= memory_reservation::min_reserved) {
        input_ = boost::beast::flat_buffer{};
    }
    reset_parser();
    enter_stage(stage::idle);
    parse_and_read();
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
    if (next == stage::idle) {
        idle_since_ = timers_->now();
    }
    if (next == stage::body) {
        wait = body_wait();
    }
    if (next == stage::header) {
        wait = limits_.header_timeout;
    }
    if (next == stage::draining) {
        wait = drain_timeout;
    }
    set_timer(wait);
}

auto caller_session::set_timer(duration wait) -> void
{
    timers_->cancel(std::exchange(timer_, 0));
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
    if (stage_ == stage::body && guard_ != nullptr && timers_->now() >= body_ends_) {
        guard_->count(caller_end::time);
    }
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
    input_ = boost::beast::flat_buffer{};
    reset_parser();
    enter_stage(stage::draining);
    update_account();
    read();
}

auto caller_session::close() -> void
{
    if (stage_ == stage::closed) {
        return;
    }
    enter_stage(stage::closed);
    if (guard_ != nullptr) {
        guard_->connection_closed();
        holding_->set(0, false);
    }
    if (memory_) {
        memory_->resize(0);
    }
    auto ignored = boost::system::error_code{};
    socket_.close(ignored);
}

} // namespace knapweedchute
