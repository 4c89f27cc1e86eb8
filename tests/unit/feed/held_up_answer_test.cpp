#include "support/feed_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

using namespace knapweedchute;
using namespace knapweedchute::test;

namespace {

constexpr auto apply_limit = seconds{3};
constexpr auto held_up = milliseconds{1'800};
constexpr auto shortly = milliseconds{20};
constexpr auto phase_step = milliseconds{130};
constexpr auto max_phase = milliseconds{2'000};
constexpr auto observed_time = seconds{6};

} // namespace

BOOST_AUTO_TEST_SUITE(held_up_answer_suite)

// An answer was taken for as new as its arrival; the change after it was missing while the next
// connection was silent, and the age that is stated to callers and peers was small.
BOOST_AUTO_TEST_CASE(answer_held_up_before_a_silent_connection_does_not_make_knowledge_look_current)
{
    auto oldest = duration{0}; // Oldest missing change at an age below the limit.
    for (auto phase = duration{0}; phase < max_phase; phase += phase_step) {
        auto fleet = feed_fleet{{"a", "a", "a", "b", "b", "c", "c"}};
        auto& observed = *fleet.instances[2];
        fleet.timers.advance(phase);
        observed.store.held_up = held_up;
        fleet.contents.write("servers/a", "1");
        fleet.timers.advance(shortly);
        observed.store.held_up = duration::zero();
        fleet.contents.write("op/config", "new");
        const auto written = fleet.timers.now();
        fleet.timers.advance(held_up);
        observed.store.silent_connections = 1;
        while (fleet.timers.now() - written < observed_time) {
            fleet.timers.advance(milliseconds{10});
            if (observed.values.at("op/config") != "new" &&
                observed.subscriber.age().value() <= apply_limit) {
                oldest = std::max(oldest, fleet.timers.now() - written);
            }
        }
    }
    BOOST_TEST((oldest <= apply_limit), oldest / milliseconds{1} << " ms");
}

BOOST_AUTO_TEST_SUITE_END()
