#pragma once

#include "names.hpp"
#include "soak/store_stand_in.hpp"
#include "support/loopback.hpp"
#include "view_feed.hpp"

#include <knapweedchute/net/asio_timer_queue.hpp>
#include <knapweedchute/net/caller_listener.hpp>

#include <boost/test/unit_test.hpp>

namespace knapweedchute::test {

/// A view_feed with a store on loopback; the port for peers is not opened.
struct view_feed_fixture
{
    boost::asio::io_context loop{1};
    asio_timer_queue timers{loop};
    header_names names = platform::interface().headers;
    soak::store_stand_in store{timers};
    caller_listener listener{loop, store, timers, names};
    address where{loopback_ip, free_port()};
    counter_set counters;
    platform::store_client client{loop, timers, where, counters, milliseconds{600}};
    cluster_view view{1};
    member self{"i1", "a", {1, 1}, {1, 2}, {1, 3}, 1, member_state::alive};
    peer_port peers{loop, timers, self, {}, envelope{"test", message_key{"0123456789abcdef"}}};
    platform::view_feed feed{timers, client, view, peers, self};

    view_feed_fixture()
    {
        auto reason = error{};
        BOOST_REQUIRE(listener.open(where, reason));
    }
};

} // namespace knapweedchute::test
