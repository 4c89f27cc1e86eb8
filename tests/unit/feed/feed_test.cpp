#include "support/manual_timer_queue.hpp"

#include <knapweedchute/feed/feed_keeper.hpp>

#include <boost/test/unit_test.hpp>

#include <deque>
#include <functional>

using namespace knapweedchute;
using namespace knapweedchute::test;

namespace {

auto event(const std::string& key, std::uint64_t revision, bool deleted = false) -> feed_event
{
    return {key, deleted ? "" : key + std::to_string(revision), revision, deleted};
}

/// A source that answers as the test says, or not at all.
class fake_source final : public feed_source
{
public:
    explicit fake_source(timer_queue& timers) : timers_{&timers} {}

    auto read(const std::string& prefix, const std::string& after, bool /*may_be_old*/,
              listener done) -> void override
    {
        reads += 1;
        auto reply = feed_reply{up ? feed_end::done : feed_end::lost, {}};
        reply.page.revision = revision;
        for (const auto& [key, known] : items) {
            if (key.starts_with(prefix) && key > after) {
                reply.page.truncated = reply.page.events.size() == page_size;
                if (reply.page.truncated) {
                    break;
                }
                reply.page.events.push_back(known);
            }
        }
        end(reply, milliseconds{1}, std::move(done));
    }

    auto renew() -> void override { silent = false; }

    auto watch(std::uint64_t after, milliseconds wait, listener done) -> void override
    {
        watches += 1;
        auto reply = feed_reply{up ? feed_end::done : feed_end::lost, {}};
        if (up && after < history_from) {
            reply.end = feed_end::history_gone;
        }
        reply.page.revision = std::max(revision, after);
        for (const auto& change : changes) {
            if (change.revision > after) {
                reply.page.events.push_back(change);
            }
        }
        if (silent || hanging) {
            end({feed_end::lost, {}}, wait + milliseconds{500}, std::move(done));
            return;
        }
        const auto waits = up && reply.end == feed_end::done && reply.page.events.empty();
        end(reply, waits ? duration{wait} : duration{milliseconds{1}}, std::move(done));
    }

    auto change(const feed_event& what) -> void
    {
        revision = what.revision;
        changes.push_back(what);
        if (what.deleted) {
            items.erase(what.key);
        } else {
            items[what.key] = what;
        }
    }

    std::map<std::string, feed_event> items;
    std::vector<feed_event> changes;
    std::uint64_t revision = 1;
    std::uint64_t history_from = 0;
    std::size_t page_size = 2;
    std::size_t reads = 0;
    std::size_t watches = 0;
    bool up = true;
    bool hanging = false; ///< Calls made now hang to their end, whatever happens meanwhile.
    bool silent = false;  ///< Kept connections lead nowhere, new ones work.

private:
    auto end(const feed_reply& reply, duration after, listener done) -> void
    {
        timers_->at(timers_->now() + after, [reply, done = std::move(done)] { done(reply); });
    }

    timer_queue* timers_;
};

class recording_listener final : public feed_listener
{
public:
    auto put(const feed_event& state) -> bool override
    {
        const auto news = held[state.key] != state.value;
        held[state.key] = state.value;
        return news;
    }
    auto remove(const std::string& key, std::optional<time_point> hold_until) -> void override
    {
        held.erase(key);
        last_hold = hold_until;
    }
    auto complete(const std::set<std::string>& keys, std::optional<time_point> hold_until)
        -> void override
    {
        std::erase_if(held, [&](const auto& item) { return !keys.contains(item.first); });
        last_hold = hold_until;
        completions += 1;
    }

    std::map<std::string, std::string> held;
    std::optional<time_point> last_hold;
    std::size_t completions = 0;
};

struct feed_fixture
{
    manual_timer_queue timers;
    fake_source store{timers};
    fake_source peer{timers};
    recording_listener listener;
    std::vector<member> members;
    member self{"z", "a", {9, 9}, {}, {}, 1, member_state::alive};
    std::optional<feed_keeper> keeper;

    feed_fixture()
    {
        members = {self};
        for (const auto* key : {"op/config", "servers/a", "servers/b", "servers/c"}) {
            store.change(event(key, store.revision + 1));
        }
    }

    auto start() -> void
    {
        keeper.emplace(
            timers, store, [this](const member&) -> feed_source& { return peer; },
            [this] { return members; }, self, listener, "op/");
        keeper->start();
        timers.advance(milliseconds{100});
    }

    /// Three readers before this instance in its zone: it follows one of them.
    auto add_readers() -> void
    {
        for (const auto* name : {"r1", "r2", "r3"}) {
            members.push_back({name, "a", {1, 1}, {}, {}, 1, member_state::alive});
        }
        peer.items = store.items;
        peer.changes = store.changes;
        peer.revision = store.revision;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(feed_suite, feed_fixture)

BOOST_AUTO_TEST_CASE(feed_all_pages_are_read_once)
{
    start();
    BOOST_TEST(listener.held.size() == 4U);
    BOOST_TEST(listener.completions == 1U);
    BOOST_TEST(keeper->copy() != nullptr);
}

BOOST_AUTO_TEST_CASE(feed_change_and_removal_are_told)
{
    start();
    store.change(event("servers/d", 20));
    store.change(event("servers/a", 21, true));
    timers.advance(seconds{5});
    BOOST_TEST(listener.held.contains("servers/d"));
    BOOST_TEST(!listener.held.contains("servers/a"));
    BOOST_TEST(!listener.last_hold.has_value());
}

BOOST_AUTO_TEST_CASE(feed_heartbeat_that_changes_nothing_is_not_passed_on)
{
    start();
    const auto before = keeper->copy()->revision();
    auto heartbeat = store.items.at("servers/a");
    heartbeat.revision = 20;
    store.change(heartbeat);
    timers.advance(seconds{5});
    BOOST_REQUIRE(keeper->copy() != nullptr);
    BOOST_TEST(keeper->copy()->revision() == 20U);
    BOOST_TEST(keeper->copy()->since(before)->events.empty());
    store.change(event("servers/a", 21));
    timers.advance(seconds{5});
    BOOST_TEST(keeper->copy()->since(before)->events.size() == 1U);
}

BOOST_AUTO_TEST_CASE(feed_outage_keeps_what_is_known_and_holds_what_vanished)
{
    start();
    store.up = false;
    timers.advance(seconds{10});
    BOOST_TEST(listener.held.size() == 4U);
    BOOST_TEST(keeper->copy() == nullptr);
    store.up = true;
    store.change(event("servers/a", 30, true));
    timers.advance(seconds{2});
    BOOST_TEST(!listener.held.contains("servers/a"));
    BOOST_TEST(listener.last_hold.has_value());
    BOOST_TEST(keeper->copy() != nullptr);
}

BOOST_AUTO_TEST_CASE(feed_outage_is_not_met_with_a_storm_of_calls)
{
    start();
    store.up = false;
    timers.advance(seconds{4});
    const auto before = store.watches;
    timers.advance(seconds{10});
    BOOST_TEST(store.watches - before <= 15U);
}

BOOST_AUTO_TEST_CASE(feed_lost_history_reads_everything_again)
{
    start();
    store.change(event("servers/a", 40, true));
    store.changes.clear();
    store.history_from = 40;
    timers.advance(seconds{5});
    BOOST_TEST(!listener.held.contains("servers/a"));
    BOOST_TEST(listener.completions == 2U);
}

BOOST_AUTO_TEST_CASE(feed_many_instances_leave_the_store_to_readers)
{
    add_readers();
    start();
    timers.advance(seconds{20});
    BOOST_TEST(store.reads + store.watches == 0U);
    peer.change(event("servers/d", 50));
    timers.advance(seconds{4});
    BOOST_TEST(listener.held.contains("servers/d"));
    BOOST_TEST(keeper->copy() == nullptr);
}

BOOST_AUTO_TEST_CASE(feed_readers_that_can_not_tell_are_replaced_by_the_store)
{
    add_readers();
    start();
    peer.up = false;
    store.change(event("servers/d", 60));
    timers.advance(seconds{3});
    BOOST_TEST(listener.held.contains("servers/d"));
}

BOOST_AUTO_TEST_CASE(feed_silent_connections_everywhere_cost_one_wait)
{
    add_readers();
    start();
    timers.advance(seconds{10});
    peer.silent = true;
    store.silent = true;
    timers.advance(milliseconds{1'600});
    peer.change(event("servers/d", 70));
    timers.advance(milliseconds{2'100});
    BOOST_TEST(listener.held.contains("servers/d"));
}

BOOST_AUTO_TEST_CASE(feed_store_that_hung_is_heard_soon_after_its_return)
{
    start();
    timers.advance(seconds{4});
    store.hanging = true;
    timers.advance(milliseconds{7'500});
    store.hanging = false;
    store.change(event("servers/d", 80));
    timers.advance(seconds{2});
    BOOST_TEST(listener.held.contains("servers/d"));
}

BOOST_AUTO_TEST_CASE(cache_peer_that_lags_too_far_is_told_to_read_again)
{
    auto cache = feed_cache{};
    cache.reset({{"a", event("a", 5)}}, 5);
    cache.apply({{event("a", 6), event("b", 7)}, 9, false, false});
    BOOST_TEST(!cache.since(4).has_value());
    BOOST_TEST(cache.since(5)->events.size() == 2U);
    BOOST_TEST(cache.since(6)->events.size() == 1U);
    BOOST_TEST(cache.since(9)->events.empty());
    BOOST_TEST(cache.since(9)->revision == 9U);
    BOOST_TEST(cache.all().events.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
