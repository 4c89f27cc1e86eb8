#pragma once

#include <knapweedchute/feed/feed_source.hpp>
#include <knapweedchute/net/call_client.hpp>
#include <knapweedchute/wire/envelope.hpp>

namespace knapweedchute {

/// \brief A peer's copy of the keys, read over TCP.
class peer_feed_source final : public feed_source
{
public:
    peer_feed_source(boost::asio::io_context& loop, timer_queue& timers, const address& where,
                     envelope codec);

    auto read(const std::string& prefix, const std::string& after, bool may_be_old, listener done)
        -> void override;
    auto renew() -> void override { client_.renew(); }
    auto watch(std::uint64_t after, milliseconds wait, listener done) -> void override;

private:
    auto call(const std::string& target, duration timeout, listener done) -> void;

    call_client client_;
    envelope codec_;
};

} // namespace knapweedchute
