#include <knapweedchute/runtime/peer_caller.hpp>

#include <utility>

namespace knapweedchute {
namespace {

constexpr auto max_idle_streams_per_peer = std::size_t{8};

} // namespace

peer_caller::peer_caller(envelope codec, const network_filter& filter, counter_set& counters)
    : codec_{std::move(codec)}, filter_{&filter}, counters_{&counters}
{
}

auto peer_caller::call(const address& peer, const peer_call& request, milliseconds timeout)
    -> std::optional<peer_reply>
{
    if (!filter_->allows(peer)) {
        return std::nullopt;
    }
    counters_->add(counter::peer_fetches);
    auto stream = acquire_stream(peer, timeout);
    if (!stream || !stream->send(codec_.encode(request), timeout)) {
        return std::nullopt;
    }
    const auto frame = stream->receive(timeout);
    if (!frame) {
        return std::nullopt;
    }
    auto reason = error{};
    auto reply = codec_.decode<peer_reply>(*frame, reason);
    if (!reply) {
        counters_->add(counter::datagrams_refused);
        return std::nullopt;
    }
    release_stream(peer, std::move(*stream));
    return reply->served ? std::move(reply) : std::nullopt;
}

auto peer_caller::acquire_stream(const address& peer, milliseconds timeout)
    -> std::optional<peer_stream>
{
    {
        const auto lock = std::lock_guard{mutex_};
        auto& streams = idle_streams_[peer];
        while (!streams.empty()) {
            auto stream = std::move(streams.back());
            streams.pop_back();
            if (stream.idle()) {
                return stream;
            }
        }
    }
    return peer_stream::connect(peer, timeout);
}

auto peer_caller::release_stream(const address& peer, peer_stream stream) -> void
{
    const auto lock = std::lock_guard{mutex_};
    auto& streams = idle_streams_[peer];
    if (streams.size() < max_idle_streams_per_peer) {
        streams.push_back(std::move(stream));
    }
}

} // namespace knapweedchute
