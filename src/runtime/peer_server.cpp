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
constexpr auto max_idle_polls = 300;

auto open_listener(const address& listen_address) -> file_descriptor
{
    auto socket = file_descriptor{::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
    const auto enabled = 1;
    setsockopt(socket.value(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    const auto native_address = impl::socket_address(listen_address);
    const auto bound = bind(socket.value(), reinterpret_cast<const sockaddr*>(&native_address),
                            sizeof(native_address)) == 0 &&
                       listen(socket.value(), backlog) == 0;
    return bound ? std::move(socket) : file_descriptor{};
}

} // namespace

peer_server::peer_server(const address& listen_address, envelope codec, counter_set& counters,
                         handler handle)
    : codec_{std::move(codec)}, counters_{&counters}, handle_{std::move(handle)},
      socket_{open_listener(listen_address)}
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
        auto descriptor = pollfd{socket_.value(), POLLIN, 0};
        const auto ready = poll(&descriptor, 1, static_cast<int>(poll_interval.count()));
        reap(false);
        if (ready != 1) {
            continue;
        }
        auto accepted = file_descriptor{
            accept4(socket_.value(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)};
        if (!accepted || connections_.size() >= max_connections) {
            continue;
        }
        const auto enabled = 1;
        setsockopt(accepted.value(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
        auto& entry = connections_.emplace_back();
        entry.thread =
            std::thread{[this, &entry, stream = peer_stream{std::move(accepted)}]() mutable {
                serve(stream);
                entry.ended = true;
            }};
    }
}

auto peer_server::serve(peer_stream& stream) -> void
{
    for (auto idle_polls = 0; idle_polls < max_idle_polls && !stopping_; ++idle_polls) {
        const auto frame = stream.receive(poll_interval);
        if (!frame) {
            if (stream.closed()) {
                return;
            }
            continue;
        }
        idle_polls = 0;
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
    for (auto entry = connections_.begin(); entry != connections_.end();) {
        if (!all && !entry->ended) {
            ++entry;
            continue;
        }
        entry->thread.join();
        entry = connections_.erase(entry);
    }
}

} // namespace knapweedchute
