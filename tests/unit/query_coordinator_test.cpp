#include "support/history_checker.hpp"

#include <boost/test/unit_test.hpp>

using namespace knapweedchute;
using namespace knapweedchute::test;

namespace {

constexpr auto deadline = milliseconds{200};

struct coordinator_fixture
{
    coordinator_driver driver{1};
    service_spec service;
    std::vector<address> addresses;

    coordinator_fixture()
    {
        auto model = fake_target{};
        model.limit = 20;
        service = add_service(driver, 4, 2, model);
        for (const auto& target : service.versions.front().targets) {
            addresses.push_back(target.where);
        }
        driver.add_instance("a", "a", {}, false);
        driver.configure(service, {});
        driver.report_all();
        driver.advance(request_policy{}.share_hold);
    }

    /// Limits each target to one slot and starts many searches, so that most parts wait.
    auto queue_parts() -> void
    {
        for (auto& [address, fake] : driver.targets()) {
            fake.limit = 1;
        }
        service.connections_per_replica = 1;
        driver.configure(service, {});
        driver.advance(request_policy{}.share_hold);
        for (auto sent = 0; sent < 20; ++sent) {
            driver.search(0, deadline, 1.0);
        }
    }

    auto target(std::size_t index) -> fake_target& { return driver.targets().at(addresses[index]); }

    /// Starts searches at a steady rate and waits until all have finished.
    auto run_searches(int count, duration interval) -> void
    {
        for (auto sent = 0; sent < count; ++sent) {
            driver.search(0, deadline, 1.0);
            driver.advance(interval);
        }
        driver.advance(deadline);
    }

    auto tally() -> version_tally { return driver.coordinator(0).tallies().begin()->second; }

    /// Establishes the latency baseline, then makes every target ten times slower.
    /// Returns the counts up to then.
    auto slow_targets_after_baseline() -> version_tally
    {
        run_searches(200, milliseconds{2});
        for (auto& [address, fake] : driver.targets()) {
            fake.latency = milliseconds{20};
        }
        return tally();
    }

    auto last_answer() -> const query_answer&
    {
        return std::get<query_answer>(driver.results().back().result);
    }

    auto last_refusal() -> const refusal&
    {
        return std::get<refusal>(driver.results().back().result);
    }

    auto check_invariants() -> void
    {
        const auto violations = check_history(driver.results());
        BOOST_TEST(violations.empty(), (violations.empty() ? "" : violations.front().rule));
        BOOST_TEST(check_executions(driver.targets()).empty());
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(query_coordinator_suite, coordinator_fixture)

BOOST_AUTO_TEST_CASE(search_all_targets_healthy_answers_every_shard)
{
    run_searches(1, milliseconds{1});
    BOOST_TEST(last_answer().answered == 4U);
    BOOST_TEST(last_answer().missing.empty());
    check_invariants();
}

BOOST_AUTO_TEST_CASE(search_one_replica_down_answers_every_shard)
{
    target(0).down = true;
    run_searches(50, milliseconds{2});
    for (const auto& ended : driver.results()) {
        BOOST_TEST(std::get<query_answer>(ended.result).answered == 4U);
    }
    check_invariants();
}

BOOST_AUTO_TEST_CASE(search_all_replicas_of_shard_silent_reports_it_missing)
{
    target(0).silent = true;
    target(1).silent = true;
    run_searches(1, milliseconds{1});
    BOOST_TEST(last_answer().answered == 3U);
    BOOST_TEST((last_answer().missing == std::vector<std::uint32_t>{0}));
    check_invariants();
}

BOOST_AUTO_TEST_CASE(search_below_minimum_coverage_is_refused)
{
    service.minimum_coverage_permil = 900;
    driver.configure(service, {});
    target(0).down = true;
    target(1).down = true;
    run_searches(1, milliseconds{1});
    BOOST_TEST((last_refusal().reason.code == error_code::coverage_too_low));
    BOOST_TEST((last_refusal().execution == outcome::ran));
}

BOOST_AUTO_TEST_CASE(search_answer_from_other_snapshot_is_rejected)
{
    driver.distort = [](auto& answer) {
        if (answer.source.shard == 2) {
            answer.source.snapshot = 9;
        }
    };
    run_searches(1, milliseconds{1});
    BOOST_TEST((last_answer().missing == std::vector<std::uint32_t>{2}));
    BOOST_TEST(driver.counters().value(counter::answers_rejected) > 0U);
    check_invariants();
}

BOOST_AUTO_TEST_CASE(search_answer_for_other_attempt_is_rejected)
{
    driver.distort = [](auto& answer) { answer.attempt += 1; };
    run_searches(1, milliseconds{1});
    BOOST_TEST((last_refusal().execution != outcome::not_run));
}

BOOST_AUTO_TEST_CASE(search_snapshot_lost_during_query_restarts_on_newer_snapshot)
{
    driver.search(0, deadline, 1.0);
    for (auto& [address, fake] : driver.targets()) {
        auto& held = fake.report.serving.front();
        held.snapshot = 2;
        held.shards = 4;
    }
    driver.report_all();
    driver.advance(deadline);
    BOOST_TEST(last_answer().snapshot == 2U);
    BOOST_TEST(last_answer().answered == 4U);
    BOOST_TEST(driver.counters().value(counter::queries_restarted) == 1U);
    check_invariants();
}

BOOST_AUTO_TEST_CASE(search_repartitioned_snapshot_reports_its_own_shard_count)
{
    for (auto& [address, fake] : driver.targets()) {
        fake.report.serving = {{1, 4, fake.report.serving.front().shard},
                               {2, 2, fake.report.serving.front().shard % 2}};
    }
    driver.report_all();
    run_searches(1, milliseconds{1});
    BOOST_TEST(last_answer().snapshot == 2U);
    BOOST_TEST(last_answer().shards == 2U);
    check_invariants();
}

BOOST_AUTO_TEST_CASE(search_newer_snapshot_incomplete_uses_older_snapshot)
{
    target(0).report.serving.push_back({2, 4, 0});
    driver.report_all();
    run_searches(1, milliseconds{1});
    BOOST_TEST(last_answer().snapshot == 1U);
    BOOST_TEST(last_answer().answered == 4U);
}

BOOST_AUTO_TEST_CASE(excluded_zone_receives_no_queued_or_hedged_parts)
{
    queue_parts();
    driver.configure(service, {"b"});
    auto before = std::map<address, std::uint64_t>{};
    for (const auto& [address, fake] : driver.targets()) {
        before[address] = fake.received;
    }
    driver.advance(deadline);
    for (const auto& [address, fake] : driver.targets()) {
        if (fake.spec.availability_zone == "b") {
            BOOST_TEST(fake.received == before[address]);
        }
    }
    check_invariants();
}

BOOST_AUTO_TEST_CASE(freshness_expired_search_is_refused_and_nothing_is_sent)
{
    driver.coordinator(0).allow_new_work_until(driver.now() - milliseconds{1});
    run_searches(1, milliseconds{1});
    BOOST_TEST((last_refusal().reason.code == error_code::not_fresh));
    BOOST_TEST((last_refusal().execution == outcome::not_run));
    for (const auto& [address, fake] : driver.targets()) {
        BOOST_TEST(fake.received == 0U);
    }
}

BOOST_AUTO_TEST_CASE(freshness_expired_waiting_parts_are_not_sent)
{
    queue_parts();
    driver.coordinator(0).allow_new_work_until(driver.now() - milliseconds{1});
    auto before = std::uint64_t{0};
    auto after = std::uint64_t{0};
    for (const auto& [address, fake] : driver.targets()) {
        before += fake.received;
    }
    driver.advance(deadline);
    for (const auto& [address, fake] : driver.targets()) {
        after += fake.received;
    }
    BOOST_TEST(after == before);
}

BOOST_AUTO_TEST_CASE(target_draining_reported_in_answer_receives_no_new_parts)
{
    target(0).report.leaving = true;
    run_searches(20, milliseconds{1});
    const auto received = target(0).received;
    run_searches(50, milliseconds{1});
    BOOST_TEST(target(0).received == received);
    BOOST_TEST(last_answer().answered == 4U);
}

BOOST_AUTO_TEST_CASE(run_all_targets_healthy_executes_once)
{
    driver.run_request_at(0, "id-1", deadline);
    driver.advance(deadline);
    BOOST_TEST(std::holds_alternative<std::string>(driver.results().back().result));
    check_invariants();
}

BOOST_AUTO_TEST_CASE(run_all_targets_silent_has_unknown_outcome_and_is_sent_once)
{
    for (auto& [address, fake] : driver.targets()) {
        fake.silent = true;
    }
    driver.run_request_at(0, "id-1", deadline);
    driver.advance(deadline * 2);
    BOOST_TEST((last_refusal().execution == outcome::unknown));
    check_invariants();
}

BOOST_AUTO_TEST_CASE(run_target_fails_after_start_has_unknown_outcome_and_is_sent_once)
{
    for (auto& [address, fake] : driver.targets()) {
        fake.loses_run_answers = true;
    }
    driver.run_request_at(0, "id-1", deadline);
    driver.advance(deadline);
    BOOST_TEST((last_refusal().execution == outcome::unknown));
    check_invariants();
}

BOOST_AUTO_TEST_CASE(run_all_targets_down_has_outcome_not_run)
{
    for (auto& [address, fake] : driver.targets()) {
        fake.down = true;
    }
    driver.run_request_at(0, "id-1", deadline);
    driver.advance(deadline);
    BOOST_TEST((last_refusal().execution == outcome::not_run));
    for (const auto& [address, fake] : driver.targets()) {
        BOOST_TEST(fake.executions.empty());
    }
}

BOOST_AUTO_TEST_CASE(hedge_one_slow_target_sends_hedges_within_budget)
{
    run_searches(100, milliseconds{2});
    target(3).latency = milliseconds{60};
    const auto sent = driver.counters().value(counter::parts_sent);
    run_searches(300, milliseconds{2});
    const auto hedged = driver.counters().value(counter::parts_hedged);
    const auto parts = driver.counters().value(counter::parts_sent) - sent;
    BOOST_TEST(hedged > 0U);
    BOOST_TEST(hedged * 20 <= parts);
    check_invariants();
}

BOOST_AUTO_TEST_CASE(hedge_all_targets_slow_stops_hedging)
{
    run_searches(300, milliseconds{1});
    for (auto& [address, fake] : driver.targets()) {
        fake.latency = milliseconds{20};
    }
    const auto hedged = driver.counters().value(counter::parts_hedged);
    run_searches(500, milliseconds{4});
    const auto extra = driver.counters().value(counter::parts_hedged) - hedged;
    BOOST_TEST(extra <= 500U * 4U / 100U);
    check_invariants();
}

BOOST_AUTO_TEST_CASE(random_faults_history_is_valid)
{
    for (auto seed = std::uint64_t{1}; seed <= 20; ++seed) {
        auto random = std::mt19937_64{seed};
        auto fixture = coordinator_fixture{};
        for (auto step = 0; step < 100; ++step) {
            auto& fake = fixture.target(random() % fixture.addresses.size());
            switch (random() % 6) {
            case 0:
                fake.down = !fake.down;
                break;
            case 1:
                fake.silent = !fake.silent;
                break;
            case 2:
                fake.latency = milliseconds{1 + random() % 50};
                break;
            case 3:
                fake.report.serving.front().snapshot += random() % 2;
                break;
            case 4:
                fake.cold_since = fixture.driver.now();
                break;
            default:
                fixture.driver.report_all();
                break;
            }
            for (auto sent = 0; sent < 5; ++sent) {
                fixture.driver.search(0, deadline, 1.0);
                fixture.driver.run_request_at(0, std::to_string(step) + "-" + std::to_string(sent),
                                              deadline);
                fixture.driver.advance(milliseconds{2});
            }
        }
        fixture.driver.advance(deadline * 3);
        BOOST_TEST(fixture.driver.results().size() == 1'000U);
        fixture.check_invariants();
    }
}

BOOST_AUTO_TEST_CASE(tally_slow_on_first_connections_is_not_counted)
{
    const auto before = slow_targets_after_baseline();
    driver.distort = [](part_answer& answer) { answer.opened_connection = true; };
    run_searches(6, milliseconds{30});
    const auto after = tally();
    BOOST_TEST(after.queries == before.queries + 6);
    BOOST_TEST(after.slow == before.slow);
}

BOOST_AUTO_TEST_CASE(tally_slow_on_every_connection_is_counted)
{
    const auto before = slow_targets_after_baseline();
    driver.distort = [](part_answer& answer) { answer.opened_connection = true; };
    run_searches(40, milliseconds{60});
    const auto after = tally();
    BOOST_TEST(after.slow >= before.slow + 10);
}

BOOST_AUTO_TEST_CASE(tally_burst_of_slow_queries_is_counted_once)
{
    const auto before = slow_targets_after_baseline();
    // Twenty slow queries at once, as after a stall of the machine.
    for (auto sent = 0; sent < 20; ++sent) {
        driver.search(0, deadline, 1.0);
    }
    driver.advance(deadline);
    const auto after = tally();
    BOOST_TEST(after.queries == before.queries + 20);
    BOOST_TEST(after.slow >= before.slow + 1);
    BOOST_TEST(after.slow <= before.slow + 2);
}

BOOST_AUTO_TEST_SUITE_END()
