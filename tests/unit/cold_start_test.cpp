#include "support/history_checker.hpp"

#include <boost/test/unit_test.hpp>

using namespace knapweedchute;
using namespace knapweedchute::test;

namespace {

constexpr auto deadline = milliseconds{200};

/// Nine instances share targets that bear four requests when cold and 25 when warm.
struct cold_fixture
{
    coordinator_driver driver{1};
    service_spec service;

    cold_fixture()
    {
        auto model = fake_target{};
        model.limit = 25;
        model.cold_requests = 4;
        model.warmup = seconds{2};
        model.latency = milliseconds{10};
        service = add_service(driver, 3, 2, model);
        for (auto index = 0; index < 9; ++index) {
            driver.add_instance("entry-" + std::to_string(index), "a", {}, false);
        }
        driver.targets_cancel = true;
        driver.configure(service, {});
        restart_all();
        driver.advance(request_policy{}.share_hold);
    }

    auto restart_all() -> void
    {
        for (auto& [where, target] : driver.targets()) {
            target.cold_since = driver.now();
            target.report.incarnation += 1;
        }
        driver.report_all();
    }

    auto load(int count) -> void
    {
        for (auto sent = 0; sent < count; ++sent) {
            driver.search(static_cast<std::size_t>(sent) % 9, deadline, 1.0);
            driver.advance(milliseconds{1});
        }
        driver.advance(deadline * 2);
    }

    auto over_bearing() -> std::int64_t
    {
        auto count = std::int64_t{0};
        for (const auto& [where, target] : driver.targets()) {
            count += target.over_bearing;
        }
        return count;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(cold_start_suite, cold_fixture)

BOOST_AUTO_TEST_CASE(cold_targets_all_instances_together_stay_within_their_bearing)
{
    load(500);
    restart_all();
    load(2'000);
    BOOST_TEST(over_bearing() == 0);
    BOOST_TEST(check_history(driver.results()).empty());
}

BOOST_AUTO_TEST_CASE(cold_targets_instance_without_a_share_forwards)
{
    restart_all();
    for (auto instance = std::size_t{0}; instance < 9; ++instance) {
        driver.search(instance, deadline, 1.0);
        driver.advance(deadline);
    }
    for (const auto& ended : driver.results()) {
        BOOST_TEST(std::get<query_answer>(ended.result).answered == 3U);
    }
    BOOST_TEST(over_bearing() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
