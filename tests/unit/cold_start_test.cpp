#include "support/history_checker.hpp"

#include <boost/test/unit_test.hpp>

using namespace knapweedchute;
using namespace knapweedchute::test;

namespace {

constexpr auto deadline = milliseconds{200};

/// Nine instances share targets that accept four concurrent requests when cold and 25 when warm.
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
        restart_targets();
        driver.advance(request_policy{}.share_hold);
    }

    auto restart_targets() -> void
    {
        for (auto& [where, target] : driver.targets()) {
            target.cold_since = driver.now();
            target.report.incarnation += 1;
        }
        driver.report_all();
    }

    auto run_searches(int count) -> void
    {
        for (auto sent = 0; sent < count; ++sent) {
            driver.search(static_cast<std::size_t>(sent) % 9, deadline, 1.0);
            driver.advance(milliseconds{1});
        }
        driver.advance(deadline * 2);
    }

    auto requests_over_capacity() -> std::int64_t
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

BOOST_AUTO_TEST_CASE(cold_targets_all_instances_together_stay_within_capacity)
{
    run_searches(500);
    restart_targets();
    run_searches(2'000);
    BOOST_TEST(requests_over_capacity() == 0);
    BOOST_TEST(check_history(driver.results()).empty());
}

BOOST_AUTO_TEST_CASE(cold_targets_instance_without_share_forwards_parts)
{
    restart_targets();
    for (auto instance = std::size_t{0}; instance < 9; ++instance) {
        driver.search(instance, deadline, 1.0);
        driver.advance(deadline);
    }
    for (const auto& ended : driver.results()) {
        BOOST_TEST(std::get<query_answer>(ended.result).answered == 3U);
    }
    BOOST_TEST(requests_over_capacity() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
