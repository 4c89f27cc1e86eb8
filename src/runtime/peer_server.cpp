#include <knapweedchute/runtime/peer_server.hpp>
#include <knapweedchute/runtime/socket_address.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <utility>

namespace knapweedchute {
namespace {

constexpr auto backlog = 128;
constexpr auto poll_interval = milliseconds{100};
constexpr auto reply_timeout = milliseconds{5'000};
constexpr auto idle_rounds = 300;

auto open_listener(const address& where) -> file_descriptor
{
    auto socket = file_descriptor{::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
    const auto one = 1;
    setsockopt(socket.value(), SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const auto own = impl::socket_address(where);
    const auto bound =
        bind(socket.value(), reinterpret_cast<const sockaddr*>(&own), sizeof(own)) == 0 &&
        listen(socket.value(), backlog) == 0;
    return bound ? std::move(socket) : file_descriptor{};
}

} // namespace

peer_server::peer_server(const address& where, envelope codec, counter_set& counters,
                         handler handle)
    : codec_{std::move(codec)}, counters_{&counters}, handle_{std::move(handle)}, socket_{
                                                                                      open_listener(
                                                                                          where)}
{
    if (socket_) {
        thread_ = std::thread{[this] { accept_loop(); }};
    }
}

peer_server::~peer_server()
{
    stopping_ = true;
    if (thread_.joinable()) {
        thread_.join();
    }
    reap(true);
}

auto peer_server::accept_loop() -> void
{
    while (!stopping_) {
        auto wanted = pollfd{socket_.value(), POLLIN, 0};
        const auto ready = poll(&wanted, 1, static_cast<int>(poll_interval.count()));
        reap(false);
        if (ready != 1) {
            continue;
        }
        auto accepted = file_descriptor{
            accept4(socket_.value(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)};
        if (!accepted || connections_.size() >= most_connections) {
            continue;
        }
        const auto one = 1;
        setsockopt(accepted.value(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        auto& served = connections_.emplace_back();
        served.thread =
            std::thread{[this, &served, stream = peer_stream{std::move(accepted)}]() mutable {
                serve(stream);
                served.ended = true;
            }};
    }
}

auto peer_server::serve(peer_stream& stream) -> void
{
    for (auto idle = 0; idle < idle_rounds && !stopping_; ++idle) {
        const auto frame = stream.receive(poll_interval);
        if (!frame) {
            if (stream.closed()) {
                return;
            }
            continue;
        }
        idle = 0;
        auto reason = error{};
        const auto call = codec_.decode<peer_call>(*frame, reason);
        if (!call) {
            counters_->add(counter::datagrams_refused);
            return;
        }
        if (!stream.send(codec_.encode(handle_(*call)), reply_timeout)) {
            return;
        }
    }
}

auto peer_server::reap(bool all) -> void
{
    for (auto served = connections_.begin(); served != connections_.end();) {
        if (!all && !served->ended) {
            ++served;
            continue;
        }
        served->thread.join();
        served = connections_.erase(served);
    }
}

} // namespace knapweedchute
