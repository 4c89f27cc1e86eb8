#include <knapweedchute/net/answer_grammar.hpp>
#include <knapweedchute/net/target_connection.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <charconv>
#include <utility>

namespace knapweedchute {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

/// Maximum bytes of one header, chunk header or trailer, which the parser needs as a whole.
constexpr auto max_unparsed_bytes = std::size_t{16} * 1'024;
/// Maximum interim answers to one request.
constexpr auto max_interim_answers = std::size_t{8};
constexpr auto status_wrong_target = 421U;
constexpr auto first_final_status = 200U;

} // namespace

target_connection::target_connection(boost::asio::io_context& loop, const header_names& names,
                                     idle_listener idle, memory_budget* memory)
    : socket_{loop}, names_{&names}, idle_listener_{std::move(idle)}
{
    if (memory != nullptr) {
        memory_.emplace(*memory, [this] { on_eviction(); });
    }
}

auto target_connection::open(const address& where, exchange_order order,
                             exchange_port::listener done) -> void
{
    begin(std::move(order), std::move(done));
    const auto endpoint = tcp::endpoint{boost::asio::ip::address_v4{where.ip}, where.port};
    socket_.async_connect(endpoint, [self = shared_from_this()](const auto& failure) {
        if (self->closed_) {
            return;
        }
        if (failure) {
            self->close(exchange_status::not_run);
            return;
        }
        // Much time may have passed since the request was allowed, a pause of this process even.
        if (self->order_.may_send && !self->order_.may_send()) {
            self->close(exchange_status::not_run);
            return;
        }
        self->connected_ = true;
        auto ignored = boost::system::error_code{};
        self->socket_.set_option(tcp::no_delay{true}, ignored);
        self->write();
        self->read();
    });
}

auto target_connection::exchange(exchange_order order, exchange_port::listener done) -> void
{
    begin(std::move(order), std::move(done));
    write();
}

auto target_connection::begin(exchange_order order, exchange_port::listener done) -> void
{
    order_ = std::move(order);
    done_ = std::move(done);
    written_ = false;
    received_bytes_ = 0;
    interim_answers_ = 0;
    reset_parser();
}

auto target_connection::reset_parser() -> void
{
    parser_.emplace(impl::message_limits{max_unparsed_bytes, order_.max_answer_bytes});
    parser_->skip(!order_.body_expected);
}

auto target_connection::write() -> void
{
    boost::asio::async_write(socket_, boost::asio::buffer(order_.text),
                             [self = shared_from_this()](const auto& failure, std::size_t) {
                                 self->written_ = true;
                                 if (failure && !self->closed_) {
                                     self->on_end_of_stream(false);
                                 }
                             });
}

auto target_connection::read() -> void
{
    socket_.async_read_some(boost::asio::buffer(chunk_),
                            [self = shared_from_this()](const auto& failure, std::size_t count) {
                                self->on_read(failure, count);
                            });
}

auto target_connection::on_read(const boost::system::error_code& failure, std::size_t count) -> void
{
    if (closed_) {
        return;
    }
    if (failure) {
        on_end_of_stream(failure == boost::asio::error::eof);
        return;
    }
    if (!done_) {
        // Bytes received without a request in progress cannot be attributed to any request.
        close();
        return;
    }
    const auto space = input_.prepare(count);
    boost::asio::buffer_copy(space, boost::asio::buffer(chunk_, count));
    input_.commit(count);
    received_bytes_ += count;
    parse();
    if (!closed_ && done_ && exceeds_limits()) {
        close_oversized();
    }
    if (!closed_) {
        reserve_memory();
        read();
    }
}

auto target_connection::reserve_memory() -> void
{
    if (memory_ && done_) {
        memory_->resize(parser_->message().body.capacity());
    }
}

auto target_connection::on_eviction() -> void
{
    boost::asio::post(socket_.get_executor(), [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->close_oversized();
        }
    });
}

auto target_connection::close_oversized() -> void
{
    oversized_ = true;
    close(exchange_status::broken);
}

auto target_connection::exceeds_limits() const -> bool
{
    return received_bytes_ > order_.max_answer_bytes || input_.size() > max_unparsed_bytes ||
           interim_answers_ > max_interim_answers;
}

auto target_connection::parse() -> void
{
    while (!closed_ && done_ && input_.size() > 0) {
        if (!parser_->is_header_done() && has_folded_line(unparsed_input())) {
            // The parser would join the line to the value before it.
            close(exchange_status::broken);
            return;
        }
        auto failure = boost::system::error_code{};
        input_.consume(parser_->put(input_.data(), failure));
        if (failure == http::error::need_more) {
            return;
        }
        if (failure) {
            oversized_ = failure == http::error::header_limit || failure == http::error::body_limit;
            close(exchange_status::broken);
            return;
        }
        if (parser_->is_header_done() && !has_valid_head()) {
            close(exchange_status::broken);
            return;
        }
        if (parser_->is_done()) {
            on_answer();
        }
    }
}

auto target_connection::has_valid_head() const -> bool
{
    // Requests ask for no transfer coding, and the parser decodes chunks only.
    const auto& message = parser_->message();
    const auto* const coding = find_field(message.fields, "Transfer-Encoding");
    const auto decoded = coding == nullptr || same_name(coding->value, "chunked");
    return decoded && is_defined_status(message.status);
}

auto target_connection::unparsed_input() const -> std::string_view
{
    const auto bytes = input_.cdata();
    return {static_cast<const char*>(bytes.data()), bytes.size()};
}

auto target_connection::on_end_of_stream(bool clean) -> void
{
    if (done_ && clean && parser_->got_some()) {
        auto failure = boost::system::error_code{};
        parser_->put_eof(failure);
        if (!failure && parser_->is_done()) {
            reusable_ = false;
            on_answer();
        }
    }
    if (!closed_) {
        close(exchange_status::broken);
    }
}

auto target_connection::on_answer() -> void
{
    read_idle_limit();
    const auto keep_alive = parser_->keep_alive();
    auto message = parser_->release();
    const auto status = message.status;
    if (status < first_final_status) {
        interim_answers_ += 1;
        reset_parser();
        return;
    }
    const auto* const answer_request_id = find_field(message.fields, names_->request_id);
    const auto has_id = answer_request_id != nullptr;
    if (has_id && !order_.request_id.empty() && answer_request_id->value != order_.request_id) {
        // Skips an answer to another request; the expected answer may still follow.
        reusable_ = false;
        reset_parser();
        return;
    }
    if (!is_attributable(has_id)) {
        close(exchange_status::broken);
        return;
    }
    // A late copy of an answer without an id could not be told from the next answer.
    reusable_ = reusable_ && (has_id || !order_.answers_have_ids);
    reusable_ = reusable_ && keep_alive && written_ && input_.size() == 0;
    auto result = exchange_result{};
    result.status = exchange_status::answered;
    if (find_field(message.fields, names_->not_run) != nullptr) {
        result.status = exchange_status::not_run;
    }
    if (status == status_wrong_target) {
        result.status = exchange_status::wrong_target;
    }
    remove_message_fields(message.fields);
    result.answer = {status, std::move(message.fields), std::move(message.body)};
    finish(std::move(result));
}

auto target_connection::is_attributable(bool has_id) const -> bool
{
    return has_id || finished_exchanges_ == 0 || !order_.answers_have_ids;
}

auto target_connection::read_idle_limit() -> void
{
    const auto* const field = find_field(parser_->message().fields, "Keep-Alive");
    if (field == nullptr) {
        return;
    }
    constexpr auto key = std::string_view{"timeout="};
    const auto& text = field->value;
    const auto begin = text.find(key);
    auto limit = 0;
    if (begin != std::string::npos) {
        const auto* first = text.data() + begin + key.size();
        if (std::from_chars(first, text.data() + text.size(), limit).ec == std::errc{}) {
            idle_limit_ = seconds{limit};
        }
    }
}

auto target_connection::finish(exchange_result result) -> void
{
    idle_since_ = steady_clock::now();
    if (memory_) {
        memory_->resize(0);
        reusable_ = reusable_ && !memory_->evicted();
    }
    result.reused_connection = finished_exchanges_ > 0;
    finished_exchanges_ += 1;
    const auto done = std::exchange(done_, nullptr);
    if (!reusable_ && !closed_) {
        close();
    }
    if (!closed_) {
        idle_listener_(shared_from_this());
    }
    done(std::move(result));
}

auto target_connection::close(exchange_status end) -> void
{
    if (closed_) {
        return;
    }
    closed_ = true;
    auto ignored = boost::system::error_code{};
    socket_.close(ignored);
    idle_listener_(shared_from_this());
    if (done_) {
        auto result = exchange_result{};
        result.status = connected_ ? end : exchange_status::not_run;
        result.never_sent = !connected_;
        result.oversized = oversized_;
        result.answer_begun = received_bytes_ > 0;
        finish(std::move(result));
    }
}

} // namespace knapweedchute
