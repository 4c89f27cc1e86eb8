#include "support/feed_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

using namespace knapweedchute;
using namespace knapweedchute::test;

namespace {

constexpr auto apply_limit = seconds{3};
constexpr auto change_interval = milliseconds{2'500};
constexpr auto changes = 8;
const auto seven_in_three_zones = std::vector<std::string>{"a", "a", "a", "b", "b", "c", "c"};
const auto twelve_in_three_zones =
    std::vector<std::string>{"a", "a", "a", "a", "b", "b", "b", "b", "c", "c", "c", "c"};

/// The store refuses a set of instances, for as long as a test lasts, and serves the others.
struct partial_outage_fixture
{
    std::vector<std::string> late;

    static auto refuse(feed_fleet& fleet, std::size_t set) -> void
    {
        for (auto index = std::size_t{0}; index < fleet.instances.size(); ++index) {
            if ((set >> index & 1U) != 0) {
                fleet.instances[index]->store.refuse();
            }
        }
    }

    /// Writes changes and records the instances that lack one when its limit has passed.
    auto play(const std::vector<std::string>& zones, std::size_t refused) -> void
    {
        auto fleet = feed_fleet{zones};
        refuse(fleet, refused);
        for (auto change = 0; change < changes; ++change) {
            const auto value = std::to_string(change);
            fleet.contents.write("op/config", value);
            const auto written = fleet.timers.now();
            for (const auto& observed : fleet.instances) {
                const auto left = apply_limit - (fleet.timers.now() - written);
                if (fleet.time_until(*observed, value, left) >= left) {
                    late.push_back("refused " + std::to_string(refused) + ": " +
                                   observed->self.instance + " lacks change " + value);
                }
            }
            fleet.timers.advance(std::max<duration>(
                duration::zero(), change_interval - (fleet.timers.now() - written)));
        }
    }

    [[nodiscard]] auto first_late() const -> std::string
    {
        return late.empty() ? "" : std::to_string(late.size()) + " times, first: " + late.front();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(partial_outage_suite, partial_outage_fixture)

BOOST_AUTO_TEST_CASE(instances_that_the_store_refuses_learn_changes_in_time_from_those_it_serves)
{
    const auto all = (std::size_t{1} << seven_in_three_zones.size()) - 1;
    for (auto refused = std::size_t{1}; refused < all; ++refused) {
        play(seven_in_three_zones, refused);
    }
    BOOST_TEST(late.empty(), first_late());
}

BOOST_AUTO_TEST_CASE(followers_of_readers_that_the_store_refuses_learn_changes_in_time)
{
    const auto all = (std::size_t{1} << twelve_in_three_zones.size()) - 1;
    constexpr auto step = std::size_t{37};
    for (auto refused = std::size_t{1}; refused < all; refused += step) {
        play(twelve_in_three_zones, refused);
    }
    BOOST_TEST(late.empty(), first_late());
}

BOOST_AUTO_TEST_CASE(instance_that_the_store_refuses_stays_current_while_nothing_changes)
{
    for (auto index = std::size_t{0}; index < seven_in_three_zones.size(); ++index) {
        auto fleet = feed_fleet{seven_in_three_zones};
        refuse(fleet, std::size_t{1} << index);
        auto oldest = duration{0};
        for (auto time = duration{0}; time < seconds{20}; time += milliseconds{10}) {
            fleet.timers.advance(milliseconds{10});
            oldest = std::max(oldest, fleet.instances[index]->subscriber.age().value());
        }
        BOOST_TEST((oldest <= apply_limit), "age of " << oldest / milliseconds{1} << " ms at "
                                                      << fleet.instances[index]->self.instance);
    }
}

BOOST_AUTO_TEST_SUITE_END()
