#include <knapweedchute/membership/configuration_lag.hpp>

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace knapweedchute;

namespace {

struct configuration_lag_fixture
{
    configuration_lag lag{seconds{1}};
    time_point start{seconds{100}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(configuration_lag_suite, configuration_lag_fixture)

BOOST_AUTO_TEST_CASE(lag_of_an_older_or_equal_version_is_zero)
{
    BOOST_TEST(!lag.record(8, 8, start));
    BOOST_TEST(!lag.record(4, 8, start));
    BOOST_TEST((lag.behind_for(8, start + seconds{1}) == duration::zero()));
}

BOOST_AUTO_TEST_CASE(lag_counts_from_the_first_newer_version_until_it_is_in_force)
{
    BOOST_TEST(lag.record(10, 8, start));
    BOOST_TEST(lag.record(12, 8, start + milliseconds{500}));
    BOOST_TEST(!lag.record(12, 8, start + seconds{2}));
    BOOST_TEST((lag.behind_for(8, start + seconds{3}) == seconds{3}));
    BOOST_TEST((lag.behind_for(12, start + seconds{3}) == duration::zero()));
    BOOST_TEST(lag.record(14, 12, start + seconds{4}));
    BOOST_TEST((lag.behind_for(12, start + seconds{5}) == seconds{1}));
}

BOOST_AUTO_TEST_CASE(lag_that_lasts_gives_suspicions_at_doubling_intervals)
{
    BOOST_TEST(lag.record(10, 8, start));
    auto moments = std::vector<int>{};
    for (auto second = 0; second < 20; ++second) {
        if (lag.take_suspicion(8, start + seconds{second})) {
            moments.push_back(second);
        }
    }
    BOOST_TEST((moments == std::vector<int>{1, 3, 7, 15}));
    BOOST_TEST(!lag.take_suspicion(10, start + seconds{60}));
}

BOOST_AUTO_TEST_CASE(lag_behind_a_still_newer_version_gives_a_suspicion_soon)
{
    BOOST_TEST(lag.record(10, 8, start));
    BOOST_TEST(lag.take_suspicion(8, start + seconds{1}));
    BOOST_TEST(lag.take_suspicion(8, start + seconds{3}));
    BOOST_TEST(lag.record(12, 8, start + seconds{4}));
    BOOST_TEST(lag.take_suspicion(8, start + seconds{5}));
}

BOOST_AUTO_TEST_SUITE_END()
