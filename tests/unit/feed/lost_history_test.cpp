#include "support/feed_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace knapweedchute;
using namespace knapweedchute::test;

namespace {

constexpr auto apply_limit = seconds{3};

/// The store drops the history of a change before any watch heard of it.
struct lost_history_fixture
{
    /// \returns The instances that lack the change when its limit has passed.
    static auto late_after_lost_change(const std::vector<std::string>& zones)
        -> std::vector<std::string>
    {
        auto fleet = feed_fleet{zones};
        fleet.start_gossip();
        fleet.contents.write("op/config", "new");
        fleet.contents.forget();
        const auto written = fleet.timers.now();
        auto late = std::vector<std::string>{};
        for (const auto& observed : fleet.instances) {
            const auto left = apply_limit - (fleet.timers.now() - written);
            if (fleet.time_until(*observed, "new", left) >= left) {
                late.push_back(observed->self.instance);
            }
        }
        return late;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(lost_history_suite, lost_history_fixture)

BOOST_AUTO_TEST_CASE(change_that_no_watch_is_told_is_in_use_in_time)
{
    BOOST_TEST(late_after_lost_change({"a", "a", "a", "b", "b", "c", "c"}) ==
                   std::vector<std::string>{},
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(change_that_no_watch_is_told_is_in_use_in_time_at_followers)
{
    BOOST_TEST(late_after_lost_change({"a", "a", "a", "a", "b", "b", "b", "b", "c", "c", "c", "c"})
                   == std::vector<std::string>{},
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
