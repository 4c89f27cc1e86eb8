#include "support/feed_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace knapweedchute;
using namespace knapweedchute::test;

namespace {

constexpr auto apply_limit = seconds{3};
/// Covers each phase of a reader's watch.
constexpr auto phase_step = milliseconds{150};
constexpr auto max_phase = milliseconds{4'500};
/// Time from the begin of a reader's pause until it loses the store, and from there to its end.
constexpr auto pause_before_loss = milliseconds{1'100};
constexpr auto pause_after_loss = milliseconds{1'300};
constexpr auto changes_in_row = 20;
constexpr auto interval_in_row = milliseconds{60};
/// Two of these, encoded as text, are more than the store puts on a page.
const auto large_value = std::string(600'000, 'x');

const auto nine_in_three_zones =
    std::vector<std::string>{"a", "a", "a", "a", "b", "b", "b", "c", "c"};
const auto twelve_in_one_zone = std::vector<std::string>(12, "a");

/// Plays a change once for each phase of the watches and records the largest time until it is in
/// use.
struct propagation_fixture
{
    duration slowest{0};
    std::string slowest_case;

    /// \param disturb Called right before the change is written.
    template <typename Disturbance>
    auto play(const std::vector<std::string>& zones, Disturbance disturb) -> void
    {
        for (auto phase = duration{0}; phase < max_phase; phase += phase_step) {
            auto fleet = feed_fleet{zones};
            fleet.timers.advance(phase);
            const auto affected = disturb(fleet);
            fleet.contents.write("op/config", "new");
            for (const auto& observed : fleet.instances) {
                if (std::find(affected.begin(), affected.end(), observed.get()) == affected.end()) {
                    record(fleet.time_until(*observed, "new", 2 * apply_limit), *observed, phase);
                }
            }
        }
    }

    auto record(duration time, const feed_fleet::instance& observed, duration phase) -> void
    {
        if (time > slowest) {
            slowest = time;
            slowest_case = observed.self.instance + " after " +
                           std::to_string(phase / milliseconds{1}) +
                           " ms: " + std::to_string(time / milliseconds{1}) + " ms";
        }
    }
};

auto cut_from_store(feed_fleet& fleet, std::size_t index) -> std::vector<feed_fleet::instance*>
{
    fleet.instances[index]->store.cut = true;
    return {fleet.instances[index].get()};
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(propagation_suite, propagation_fixture)

BOOST_AUTO_TEST_CASE(change_without_disturbance_is_in_use_everywhere_at_once)
{
    const auto nothing = [](const auto&) { return std::vector<feed_fleet::instance*>{}; };
    play(nine_in_three_zones, nothing);
    play(twelve_in_one_zone, nothing);
    BOOST_TEST((slowest < milliseconds{700}), slowest_case);
}

// A follower in contact kept an old configuration because its reader had silently lost the store.
BOOST_AUTO_TEST_CASE(change_after_a_reader_lost_the_store_reaches_its_followers_in_time)
{
    for (const auto& zones : {nine_in_three_zones, twelve_in_one_zone}) {
        for (auto index = std::size_t{0}; index < 4; ++index) {
            play(zones, [index](auto& fleet) { return cut_from_store(fleet, index); });
        }
    }
    BOOST_TEST((slowest < apply_limit), slowest_case);
}

BOOST_AUTO_TEST_CASE(
    change_after_one_reader_paused_and_one_lost_the_store_reaches_followers_in_time)
{
    for (auto paused = std::size_t{0}; paused < 4; ++paused) {
        for (auto lost = std::size_t{0}; lost < 4; ++lost) {
            play(twelve_in_one_zone, [paused, lost](auto& fleet) {
                auto affected = cut_from_store(fleet, lost);
                fleet.instances[paused]->timers.pause();
                affected.push_back(fleet.instances[paused].get());
                return affected;
            });
        }
    }
    BOOST_TEST((slowest < apply_limit), slowest_case);
}

BOOST_AUTO_TEST_CASE(change_after_all_readers_lost_the_store_reaches_their_followers_in_time)
{
    play(twelve_in_one_zone, [](auto& fleet) {
        auto affected = std::vector<feed_fleet::instance*>{};
        for (auto index = std::size_t{0}; index < 4; ++index) {
            affected.push_back(cut_from_store(fleet, index).front());
        }
        return affected;
    });
    BOOST_TEST((slowest < apply_limit), slowest_case);
}

BOOST_AUTO_TEST_CASE(
    change_after_a_reader_that_knows_no_followers_lost_the_store_reaches_them_in_time)
{
    for (auto index = std::size_t{0}; index < 4; ++index) {
        play(twelve_in_one_zone, [index](auto& fleet) {
            fleet.instances[index]->known = {fleet.members[index]};
            fleet.timers.advance(seconds{10});
            return cut_from_store(fleet, index);
        });
    }
    BOOST_TEST((slowest < apply_limit), slowest_case);
}

BOOST_AUTO_TEST_CASE(change_after_all_connections_to_the_store_went_silent_is_in_use_in_time)
{
    for (const auto& zones : {nine_in_three_zones, twelve_in_one_zone}) {
        play(zones, [](auto& fleet) {
            for (const auto& reader : fleet.instances) {
                reader->store.silent_connections = 1;
            }
            return std::vector<feed_fleet::instance*>{};
        });
    }
    BOOST_TEST((slowest < apply_limit), slowest_case);
}

BOOST_AUTO_TEST_CASE(change_right_after_another_on_connections_that_went_silent_is_in_use_in_time)
{
    for (const auto& zones : {nine_in_three_zones, twelve_in_one_zone}) {
        play(zones, [](auto& fleet) {
            fleet.contents.write("op/config", "earlier");
            fleet.timers.advance(milliseconds{20});
            for (const auto& reader : fleet.instances) {
                reader->store.silent_connections = 1;
            }
            return std::vector<feed_fleet::instance*>{};
        });
    }
    BOOST_TEST((slowest < apply_limit), slowest_case);
}

BOOST_AUTO_TEST_CASE(
    change_is_in_use_in_time_though_two_connections_to_the_store_in_a_row_are_silent)
{
    for (const auto& zones : {nine_in_three_zones, twelve_in_one_zone}) {
        for (auto index = std::size_t{0}; index < 4; ++index) {
            play(zones, [index](auto& fleet) {
                fleet.start_gossip();
                fleet.instances[index]->store.silent_connections = 2;
                return std::vector<feed_fleet::instance*>{};
            });
        }
    }
    BOOST_TEST((slowest < apply_limit), slowest_case);
}

BOOST_AUTO_TEST_CASE(change_is_in_use_in_time_at_an_instance_that_the_store_refuses)
{
    for (const auto& zones : {nine_in_three_zones, twelve_in_one_zone}) {
        for (auto index = std::size_t{0}; index < 4; ++index) {
            play(zones, [index](auto& fleet) {
                fleet.instances[index]->store.refuse();
                return std::vector<feed_fleet::instance*>{};
            });
        }
    }
    BOOST_TEST((slowest < apply_limit), slowest_case);
}

BOOST_AUTO_TEST_CASE(change_is_in_use_in_time_though_a_reader_was_paused_while_it_lost_the_store)
{
    for (auto paused = std::size_t{0}; paused < 4; ++paused) {
        for (auto lost = std::size_t{0}; lost < 4; ++lost) {
            play(twelve_in_one_zone, [paused, lost](auto& fleet) {
                auto& reader = *fleet.instances[paused];
                reader.timers.pause();
                fleet.timers.advance(pause_before_loss);
                auto affected = cut_from_store(fleet, paused);
                fleet.timers.at(fleet.timers.now() + pause_after_loss,
                                [&reader] { reader.timers.resume(); });
                fleet.reachable = [lost](auto from, auto to) { return from != lost && to != lost; };
                affected.push_back(fleet.instances[lost].get());
                return affected;
            });
        }
    }
    BOOST_TEST((slowest < apply_limit), slowest_case);
}

BOOST_AUTO_TEST_CASE(target_removed_after_a_store_disruption_is_out_of_use_in_time_at_followers)
{
    constexpr auto expiry_interval = milliseconds{250}; // Held targets are expired that often.
    auto slowest_release = duration{0};
    for (auto gap = duration{0}; gap < seconds{1}; gap += milliseconds{20}) {
        auto fleet = feed_fleet{twelve_in_one_zone};
        fleet.contents.write("servers/a", "1");
        fleet.contents.write("servers/b", "1");
        fleet.timers.advance(seconds{3});
        for (const auto& reader : fleet.instances) {
            reader->store.refuse();
        }
        fleet.timers.advance(milliseconds{50});
        for (const auto& reader : fleet.instances) {
            reader->store.refused = false;
        }
        fleet.timers.advance(seconds{2});
        fleet.contents.write("servers/b", "2");
        fleet.timers.advance(gap);
        fleet.contents.write("servers/b", "3");
        fleet.timers.advance(milliseconds{20});
        const auto removed = fleet.timers.now();
        fleet.contents.remove("servers/a");
        fleet.timers.advance(seconds{3});
        for (const auto& known : fleet.instances) {
            BOOST_REQUIRE(known->released_at.has_value());
            slowest_release =
                std::max(slowest_release, *known->released_at - removed + expiry_interval);
        }
    }
    BOOST_TEST((slowest_release < apply_limit), slowest_release / milliseconds{1});
}

// The store may end an answer before the last change, as it does with its lists.
BOOST_AUTO_TEST_CASE(last_of_a_row_of_large_changes_that_is_told_in_pages_is_in_use_in_time)
{
    auto fleet = feed_fleet{{"a", "b"}};
    fleet.contents.max_watch_events = 1;
    for (auto change = 0; change < changes_in_row; ++change) {
        fleet.contents.write("op/config", std::to_string(change) + large_value);
        fleet.timers.advance(interval_in_row);
    }
    fleet.contents.write("op/config", "new");
    for (const auto& observed : fleet.instances) {
        record(fleet.time_until(*observed, "new", 2 * apply_limit), *observed, duration{0});
    }
    BOOST_TEST((slowest < apply_limit), slowest_case);
}

BOOST_AUTO_TEST_CASE(change_that_a_watch_left_out_is_in_use_in_time_as_peers_state_it)
{
    for (const auto& zones : {nine_in_three_zones, twelve_in_one_zone}) {
        for (auto index = std::size_t{0}; index < 4; ++index) {
            play(zones, [index](auto& fleet) {
                fleet.start_gossip();
                fleet.instances[index]->store.left_out.insert(fleet.contents.revision + 1);
                return std::vector<feed_fleet::instance*>{};
            });
        }
    }
    BOOST_TEST((slowest < apply_limit), slowest_case);
}

BOOST_AUTO_TEST_CASE(change_that_a_watch_left_out_among_others_is_in_use_in_time_as_peers_state_it)
{
    play(nine_in_three_zones, [](auto& fleet) {
        fleet.start_gossip();
        fleet.instances.front()->store.left_out.insert(fleet.contents.revision + 1);
        for (auto time = interval_in_row; time < 2 * apply_limit; time += interval_in_row) {
            fleet.timers.at(fleet.timers.now() + time, [&fleet] {
                fleet.contents.write("servers/a", std::to_string(fleet.contents.revision));
            });
        }
        return std::vector<feed_fleet::instance*>{};
    });
    BOOST_TEST((slowest < apply_limit), slowest_case);
}

BOOST_AUTO_TEST_SUITE_END()
