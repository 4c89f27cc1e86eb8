#include "support/feed_fleet.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

using namespace knapweedchute;
using namespace knapweedchute::test;

namespace {

constexpr auto apply_limit = seconds{3};
constexpr auto storm_interval = milliseconds{60};

/// Writes of the configuration and when they were made.
struct storm
{
    std::vector<std::pair<std::uint64_t, time_point>> written;

    auto write(feed_fleet& fleet) -> void
    {
        fleet.contents.write("op/config", std::to_string(written.size()));
        written.emplace_back(fleet.contents.revision, fleet.timers.now());
    }

    /// \returns Time since the oldest write that is newer than the version in use.
    [[nodiscard]] auto lag(const feed_fleet::instance& observed, time_point now) const -> duration
    {
        const auto missing = std::find_if(written.begin(), written.end(), [&](const auto& known) {
            return known.first > observed.version();
        });
        return missing == written.end() ? duration::zero() : now - missing->second;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(bounded_answers_suite)

// Instances that lost no call answered from versions older than the limit (trials for issue 59).
BOOST_DATA_TEST_CASE(change_in_a_storm_is_in_use_in_time_though_answers_are_bounded,
                     boost::unit_test::data::make({1, 2, 3, 1'000}), max_events)
{
    constexpr auto storm_changes = 100;
    const auto nine = std::vector<std::string>{"a", "a", "a", "a", "b", "b", "b", "c", "c"};
    const auto twelve = std::vector<std::string>(12, "a");
    auto slowest = duration::zero();
    for (const auto& zones : {nine, twelve}) {
        auto fleet = feed_fleet{zones};
        fleet.contents.max_watch_events = static_cast<std::size_t>(max_events);
        auto changes = storm{};
        for (auto step = 0; step < 2 * storm_changes; ++step) {
            if (step < storm_changes) {
                changes.write(fleet);
            }
            fleet.timers.advance(storm_interval);
            for (const auto& observed : fleet.instances) {
                slowest = std::max(slowest, changes.lag(*observed, fleet.timers.now()));
            }
        }
    }
    BOOST_TEST((slowest < apply_limit), slowest / milliseconds{1});
}

BOOST_AUTO_TEST_SUITE_END()
