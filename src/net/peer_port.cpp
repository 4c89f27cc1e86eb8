#include <knapweedchute/core/log.hpp>
#include <knapweedchute/net/peer_port.hpp>

#include <utility>

namespace knapweedchute {
namespace {

using boost::asio::ip::udp;

/// A third of the probe period of membership: indirect probes are sent this long after a missed
/// probe.
constexpr auto tick_interval = milliseconds{170};
const auto log_line = logger{"peer"};

} // namespace

peer_port::peer_port(boost::asio::io_context& loop, timer_queue& timers, const member& self,
                     std::vector<address> seeds, envelope codec)
    : timers_{&timers}, address_{self.peer_address}, codec_{std::move(codec)},
      membership_{self, std::move(seeds), {}, self.incarnation}, socket_{loop}
{
}

auto peer_port::open(error& reason) -> bool
{
    auto failure = boost::system::error_code{};
    const auto endpoint = udp::endpoint{boost::asio::ip::address_v4{address_.ip}, address_.port};
    socket_.open(endpoint.protocol(), failure);
    if (!failure) {
        socket_.bind(endpoint, failure);
    }
    if (failure) {
        reason = {error_code::invalid_value, to_string(address_), failure.message()};
        return false;
    }
    socket_.non_blocking(true);
    receive();
    tick();
    return true;
}

auto peer_port::add_peers(const std::vector<member>& peers) -> void
{
    membership_.merge(peers, timers_->now());
}

auto peer_port::announce(member_state state) -> void
{
    membership_.announce(state);
    send(membership_.tick(timers_->now()));
}

auto peer_port::set_configuration(std::uint64_t version) -> void
{
    membership_.set_configuration(version, no_proof_ms);
}

auto peer_port::send_evidence(const std::vector<evidence_row>& rows) -> void
{
    send(membership_.make_evidence_messages(rows));
}

auto peer_port::request_room(const address& peer, duration at) -> void
{
    auto message = peer_message{};
    message.kind = peer_message_kind::room_request;
    message.from = membership_.self();
    message.sequence = static_cast<std::uint64_t>(at.count());
    send({{peer, std::move(message)}});
}

auto peer_port::on_room_message(const peer_message& message) -> void
{
    if (message.kind == peer_message_kind::room_grant) {
        if (borrow_) {
            borrow_(message.from.instance, message.room,
                    duration{static_cast<duration::rep>(message.sequence)});
        }
        return;
    }
    const auto loan = lend_ ? lend_(message.from.instance) : std::nullopt;
    if (loan) {
        auto reply = peer_message{};
        reply.kind = peer_message_kind::room_grant;
        reply.from = membership_.self();
        reply.sequence = message.sequence;
        reply.room = *loan;
        send({{message.from.peer_address, std::move(reply)}});
    }
}

auto peer_port::receive() -> void
{
    socket_.async_receive_from(boost::asio::buffer(input_), sender_,
                               [this](const auto& failure, std::size_t count) {
                                   if (failure == boost::asio::error::operation_aborted) {
                                       return;
                                   }
                                   if (!failure) {
                                       on_datagram(count);
                                   }
                                   receive();
                               });
}

auto peer_port::on_datagram(std::size_t count) -> void
{
    auto reason = error{};
    const auto message = codec_.decode<peer_message>({input_.data(), count}, reason);
    if (!message) {
        log_line.warning("Datagram refused.", {{"reason", to_string(reason)}});
        return;
    }
    if (message->kind >= peer_message_kind::room_request) {
        on_room_message(*message);
        return;
    }
    if (!message->evidence.empty() && evidence_listener_) {
        evidence_listener_(message->evidence);
    }
    if (configuration_listener_) {
        configuration_listener_(message->from.instance, message->config_version);
    }
    send(membership_.receive(*message, timers_->now()));
}

auto peer_port::tick() -> void
{
    send(membership_.tick(timers_->now()));
    timers_->at(timers_->now() + tick_interval, [this] { tick(); });
}

auto peer_port::send(const std::vector<outgoing>& messages) -> void
{
    for (const auto& message : messages) {
        const auto endpoint =
            udp::endpoint{boost::asio::ip::address_v4{message.to.ip}, message.to.port};
        auto failure = boost::system::error_code{};
        socket_.send_to(boost::asio::buffer(codec_.encode(message.message)), endpoint, 0, failure);
    }
}

} // namespace knapweedchute
