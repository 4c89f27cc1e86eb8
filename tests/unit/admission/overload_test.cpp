// Plays the heaviest loads in virtual time and checks what callers get.
#include "experiment.hpp"

#include <knapweedchute/core/log.hpp>

#include <boost/test/unit_test.hpp>

using namespace knapweedchute;
using namespace knapweedchute::emulator;

namespace {

struct overload_fixture
{
    experiment_config config;

    overload_fixture()
    {
        start_logging(log_level::error);
        config.fleet.target.pause = milliseconds{200};
        config.fleet.target.pause_every = milliseconds{4'500};
        config.fleet.target.connection_setup = milliseconds{6};
        auto digest = request_kind{};
        digest.name = "digest";
        digest.share = 3.0;
        auto alert = request_kind{};
        alert.name = "alert";
        alert.work = std::chrono::duration<double, std::milli>(6.7);
        alert.goal = milliseconds{60};
        alert.deadline = milliseconds{1'000};
        alert.min_coverage = 0.75;
        alert.priority = 2;
        config.kinds = {digest, alert};
        config.callers = {0.3, 3};
        config.measured = seconds{4};
    }

    [[nodiscard]] auto play_load(double load) const -> experiment_row
    {
        return play(config, fleet_policy::admission, load, 1);
    }

    [[nodiscard]] static auto served_share(const caller_results& got) -> double
    {
        const auto served = got.in_time + got.in_time_later + got.late;
        return static_cast<double>(served) / static_cast<double>(got.requests);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(overload_suite, overload_fixture)

BOOST_AUTO_TEST_CASE(load_below_the_capacity_is_served_without_rejections)
{
    const auto got = play_load(0.6).total;
    BOOST_TEST(got.rejected_early + got.rejected_late == 0U);
    BOOST_TEST(got.unserved == 0U);
}

BOOST_AUTO_TEST_CASE(load_of_four_times_the_capacity_keeps_the_goodput)
{
    const auto best = play_load(0.8).goodput();
    BOOST_TEST(play_load(1.2).goodput() >= best * 0.95);
    BOOST_TEST(play_load(4.0).goodput() >= best * 0.95);
}

BOOST_AUTO_TEST_CASE(load_above_the_capacity_is_rejected_early_and_truthfully)
{
    const auto got = play_load(2.5).total;
    BOOST_TEST(got.rejected_early > 0U);
    BOOST_TEST(got.rejected_late == 0U);
    BOOST_TEST(got.false_not_run == 0U);
    BOOST_TEST(static_cast<double>(got.failed) <= 0.02 * static_cast<double>(got.attempts));
}

BOOST_AUTO_TEST_CASE(load_above_the_capacity_serves_kinds_by_priority_and_starves_none)
{
    const auto row = play_load(2.5);
    const auto all = served_share(row.total);
    BOOST_TEST(served_share(row.kinds[0]) >= served_share(row.kinds[1]) - 0.05);
    BOOST_TEST(served_share(row.kinds[1]) >= 0.25 * all);
}

BOOST_AUTO_TEST_CASE(load_with_half_of_a_services_replicas_slow_fails_few_attempts)
{
    config.faults = {{1.0, 8.0, 0.0, false}};
    const auto got = play_load(1.0).total;
    BOOST_TEST(got.false_not_run == 0U);
    BOOST_TEST(static_cast<double>(got.failed) <= 0.02 * static_cast<double>(got.attempts));
    BOOST_TEST(got.rejected_late == 0U);
}

BOOST_AUTO_TEST_CASE(load_with_a_zone_lost_keeps_the_goodput_of_the_rest)
{
    config.fleet.zones = 2;
    config.faults = {{0.0, 1.0, 0.0, true}};
    const auto best = play_load(0.4).goodput();
    BOOST_TEST(play_load(2.0).goodput() >= best * 0.95);
}

BOOST_AUTO_TEST_SUITE_END()
