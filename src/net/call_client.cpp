#include <knapweedchute/net/call_client.hpp>

#include <utility>

namespace knapweedchute {
namespace {

/// Matches no header: answers to this client carry no request id and no other special header.
constexpr auto no_header = "-";
/// A page of the store or of a peer, with its values encoded as text.
constexpr auto max_answer_bytes = std::size_t{16} * 1'024 * 1'024;

} // namespace

call_client::call_client(boost::asio::io_context& loop, timer_queue& timers, const address& where)
    : loop_{&loop}, timers_{&timers}, where_{where}, no_names_{no_header, no_header, no_header,
                                                               no_header, no_header, no_header,
                                                               no_header}
{
}

auto call_client::call(std::string text, duration timeout, listener done) -> void
{
    queue_.push_back({std::move(text), timeout, std::move(done)});
    if (!busy_) {
        start_next_call();
    }
}

auto call_client::renew_connection() -> void
{
    if (!busy_ && connection_) {
        connection_->close();
    }
}

auto call_client::abort_call() -> void
{
    if (busy_) {
        connection_->close(exchange_status::unknown);
    }
}

auto call_client::encode(std::string_view method, std::string_view target, std::string_view body,
                         const field_list& fields) const -> std::string
{
    auto text = std::string{method};
    text.append(" ").append(target).append(" HTTP/1.1\r\n");
    append_field(text, "Host", to_string(where_));
    if (!body.empty()) {
        append_field(text, "Content-Type", "application/json");
    }
    for (const auto& field : fields) {
        append_field(text, field.name, field.value);
    }
    if (!body.empty() || method == "POST") {
        append_field(text, "Content-Length", std::to_string(body.size()));
    }
    return text.append("\r\n").append(body);
}

auto call_client::start_next_call() -> void
{
    if (queue_.empty()) {
        return;
    }
    busy_ = true;
    auto current = std::move(queue_.front());
    queue_.pop_front();
    const auto reuse = connection_ && !connection_->closed();
    if (!reuse) {
        connection_ = std::make_shared<target_connection>(*loop_, no_names_, [](const auto&) {});
    }
    const auto timer =
        timers_->at(timers_->now() + current.timeout, [weak = std::weak_ptr{connection_}] {
            if (const auto alive = weak.lock()) {
                alive->close(exchange_status::unknown);
            }
        });
    auto ended = [this, timer, done = std::move(current.done)](exchange_result result) {
        timers_->cancel(timer);
        busy_ = false;
        done(std::move(result));
        if (!busy_) {
            start_next_call();
        }
    };
    auto order = exchange_order{nullptr, std::move(current.text), {}, true, true};
    order.answers_have_ids = false;
    order.max_answer_bytes = max_answer_bytes;
    if (reuse) {
        connection_->exchange(std::move(order), std::move(ended));
    } else {
        connection_->open(where_, std::move(order), std::move(ended));
    }
}

} // namespace knapweedchute
