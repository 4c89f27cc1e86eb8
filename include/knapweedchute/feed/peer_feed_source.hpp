#pragma once

#include <knapweedchute/feed/feed_limits.hpp>
#include <knapweedchute/feed/feed_source.hpp>
#include <knapweedchute/net/call_client.hpp>
#include <knapweedchute/wire/envelope.hpp>

namespace knapweedchute {

/// \brief Reads the keys and their changes from a peer's cache over HTTP.
class peer_feed_source final : public feed_source
{
public:
    /// End of a watch's query that asks for ages as of the arrival of the call.
    static constexpr auto proved_ages = std::string_view{",proved"};
    /// Part of a watch's query before the era of its position.
    static constexpr auto era_field = std::string_view{",era="};

    /// \param limits Waits and ages that are allowed.
    peer_feed_source(boost::asio::io_context& loop, timer_queue& timers, const address& peer,
                     envelope codec, feed_limits limits);

    auto read(const std::string& prefix, const std::string& after, bool allow_stale, listener done)
        -> void override;
    auto renew_connections() -> void override { client_.renew_connection(); }
    auto watch(feed_position after, milliseconds wait, listener done) -> void override;
    auto read_known(std::uint64_t era, const listener& done) -> void override;
    auto abort_watch() -> void override { client_.abort_call(); }

private:
    auto call(const std::string& target, duration timeout, listener done) -> void;

    call_client client_;
    envelope codec_;
    duration watch_margin_;
    bool proved_;
};

} // namespace knapweedchute
