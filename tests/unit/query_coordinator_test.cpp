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
    std::vector<address> where;

    coordinator_fixture()
    {
        auto model = fake_target{};
        model.limit = 20;
        service = add_service(driver, 4, 2, model);
        for (const auto& target : service.versions.front().targets) {
            where.push_back(target.where);
        }
        driver.add_instance("a", "a", {}, false);
        driver.configure(service, {});
        driver.report_all();
        driver.advance(request_policy{}.share_hold);
    }

    /// One place per target and many searches, so that most parts wait.
    auto leave_parts_waiting() -> void
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

    auto target(std::size_t index) -> fake_target& { return driver.targets().at(where[index]); }

    /// Sends searches at a steady rate and lets them end.
    auto load(int count, duration interval) -> void
    {
        for (auto sent = 0; sent < count; ++sent) {
            driver.search(0, deadline, 1.0);
            driver.advance(interval);
        }
        driver.advance(deadline);
    }

    auto tally() -> version_tally { return driver.coordinator(0).tallies().begin()->second; }

    /// Counts so far, after which every target takes ten times as long.
    auto slow_down_after_usual_load() -> version_tally
    {
        load(200, milliseconds{2});
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

    auto check() -> void
    {
        const auto found = check_history(driver.results());
        BOOST_TEST(found.empty(), (found.empty() ? "" : found.front().rule));
        BOOST_TEST(check_executions(driver.targets()).empty());
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(query_coordinator_suite, coordinator_fixture)

BOOST_AUTO_TEST_CASE(search_all_targets_well_answers_every_shard)
{
    load(1, milliseconds{1});
    BOOST_TEST(last_answer().answered == 4U);
    BOOST_TEST(last_answer().missing.empty());
    check();
}

BOOST_AUTO_TEST_CASE(search_one_replica_down_answers_every_shard)
{
    target(0).down = true;
    load(50, milliseconds{2});
    for (const auto& ended : driver.results()) {
        BOOST_TEST(std::get<query_answer>(ended.result).answered == 4U);
    }
    check();
}

BOOST_AUTO_TEST_CASE(search_whole_shard_silent_answers_in_time_with_true_coverage)
{
    target(0).silent = true;
    target(1).silent = true;
    load(1, milliseconds{1});
    BOOST_TEST(last_answer().answered == 3U);
    BOOST_TEST((last_answer().missing == std::vector<std::uint32_t>{0}));
    check();
}

BOOST_AUTO_TEST_CASE(search_below_minimum_coverage_is_refused)
{
    service.minimum_coverage_permil = 900;
    driver.configure(service, {});
    target(0).down = true;
    target(1).down = true;
    load(1, milliseconds{1});
    BOOST_TEST((last_refusal().reason.code == error_code::coverage_too_low));
    BOOST_TEST((last_refusal().execution == outcome::ran));
}

BOOST_AUTO_TEST_CASE(search_answer_of_other_snapshot_is_not_counted)
{
    driver.distort = [](auto& answer) {
        if (answer.source.shard == 2) {
            answer.source.snapshot = 9;
        }
    };
    load(1, milliseconds{1});
    BOOST_TEST((last_answer().missing == std::vector<std::uint32_t>{2}));
    BOOST_TEST(driver.counters().value(counter::answers_rejected) > 0U);
    check();
}

BOOST_AUTO_TEST_CASE(search_answer_of_other_attempt_is_not_counted)
{
    driver.distort = [](auto& answer) { answer.attempt += 1; };
    load(1, milliseconds{1});
    BOOST_TEST((last_refusal().execution != outcome::not_run));
}

BOOST_AUTO_TEST_CASE(search_snapshot_lost_in_mid_query_restarts_on_the_newer_one)
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
    check();
}

BOOST_AUTO_TEST_CASE(search_repartitioned_snapshot_counts_its_own_shards)
{
    for (auto& [address, fake] : driver.targets()) {
        fake.report.serving = {{1, 4, fake.report.serving.front().shard},
                               {2, 2, fake.report.serving.front().shard % 2}};
    }
    driver.report_all();
    load(1, milliseconds{1});
    BOOST_TEST(last_answer().snapshot == 2U);
    BOOST_TEST(last_answer().shards == 2U);
    check();
}

BOOST_AUTO_TEST_CASE(search_newer_snapshot_incomplete_stays_on_the_older)
{
    target(0).report.serving.push_back({2, 4, 0});
    driver.report_all();
    load(1, milliseconds{1});
    BOOST_TEST(last_answer().snapshot == 1U);
    BOOST_TEST(last_answer().answered == 4U);
}

BOOST_AUTO_TEST_CASE(zone_out_queued_and_hedged_work_does_not_go_there)
{
    leave_parts_waiting();
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
    check();
}

BOOST_AUTO_TEST_CASE(freshness_lapsed_gives_out_no_new_work)
{
    driver.coordinator(0).allow_until(driver.now() - milliseconds{1});
    load(1, milliseconds{1});
    BOOST_TEST((last_refusal().reason.code == error_code::not_fresh));
    BOOST_TEST((last_refusal().execution == outcome::not_run));
    for (const auto& [address, fake] : driver.targets()) {
        BOOST_TEST(fake.received == 0U);
    }
}

BOOST_AUTO_TEST_CASE(freshness_lapsed_while_parts_wait_sends_none_of_them)
{
    leave_parts_waiting();
    driver.coordinator(0).allow_until(driver.now() - milliseconds{1});
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

BOOST_AUTO_TEST_CASE(target_leaving_by_answer_alone_gets_no_new_work)
{
    target(0).report.leaving = true;
    load(20, milliseconds{1});
    const auto received = target(0).received;
    load(50, milliseconds{1});
    BOOST_TEST(target(0).received == received);
    BOOST_TEST(last_answer().answered == 4U);
}

BOOST_AUTO_TEST_CASE(run_target_well_runs_once)
{
    driver.run_request_at(0, "id-1", deadline);
    driver.advance(deadline);
    BOOST_TEST(std::holds_alternative<std::string>(driver.results().back().result));
    check();
}

BOOST_AUTO_TEST_CASE(run_all_targets_silent_is_unknown_and_sent_once)
{
    for (auto& [address, fake] : driver.targets()) {
        fake.silent = true;
    }
    driver.run_request_at(0, "id-1", deadline);
    driver.advance(deadline * 2);
    BOOST_TEST((last_refusal().execution == outcome::unknown));
    check();
}

BOOST_AUTO_TEST_CASE(run_target_fails_after_the_start_is_unknown_and_sent_once)
{
    for (auto& [address, fake] : driver.targets()) {
        fake.loses_run_answers = true;
    }
    driver.run_request_at(0, "id-1", deadline);
    driver.advance(deadline);
    BOOST_TEST((last_refusal().execution == outcome::unknown));
    check();
}

BOOST_AUTO_TEST_CASE(run_all_targets_down_is_not_run)
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

BOOST_AUTO_TEST_CASE(hedge_one_straggling_target_hides_it_within_the_budget)
{
    load(100, milliseconds{2});
    target(3).latency = milliseconds{60};
    const auto sent = driver.counters().value(counter::parts_sent);
    load(300, milliseconds{2});
    const auto hedged = driver.counters().value(counter::parts_hedged);
    const auto parts = driver.counters().value(counter::parts_sent) - sent;
    BOOST_TEST(hedged > 0U);
    BOOST_TEST(hedged * 20 <= parts);
    check();
}

BOOST_AUTO_TEST_CASE(hedge_all_targets_slow_stops_by_itself)
{
    load(300, milliseconds{1});
    for (auto& [address, fake] : driver.targets()) {
        fake.latency = milliseconds{20};
    }
    const auto hedged = driver.counters().value(counter::parts_hedged);
    load(500, milliseconds{4});
    const auto extra = driver.counters().value(counter::parts_hedged) - hedged;
    BOOST_TEST(extra <= 500U * 4U / 100U);
    check();
}

BOOST_AUTO_TEST_CASE(random_faults_history_holds)
{
    for (auto seed = std::uint64_t{1}; seed <= 20; ++seed) {
        auto random = std::mt19937_64{seed};
        auto run = coordinator_fixture{};
        for (auto step = 0; step < 100; ++step) {
            auto& fake = run.target(random() % run.where.size());
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
                fake.cold_since = run.driver.now();
                break;
            default:
                run.driver.report_all();
                break;
            }
            for (auto sent = 0; sent < 5; ++sent) {
                run.driver.search(0, deadline, 1.0);
                run.driver.run_request_at(0, std::to_string(step) + "-" + std::to_string(sent),
                                          deadline);
                run.driver.advance(milliseconds{2});
            }
        }
        run.driver.advance(deadline * 3);
        BOOST_TEST(run.driver.results().size() == 1'000U);
        run.check();
    }
}

BOOST_AUTO_TEST_CASE(tally_slow_on_first_connections_counts_nothing)
{
    const auto before = slow_down_after_usual_load();
    driver.distort = [](part_answer& answer) { answer.opened_connection = true; };
    load(6, milliseconds{30});
    const auto after = tally();
    BOOST_TEST(after.queries == before.queries + 6);
    BOOST_TEST(after.slow == before.slow);
}

BOOST_AUTO_TEST_CASE(tally_slow_on_every_connection_counts)
{
    const auto before = slow_down_after_usual_load();
    driver.distort = [](part_answer& answer) { answer.opened_connection = true; };
    load(40, milliseconds{60});
    const auto after = tally();
    BOOST_TEST(after.slow >= before.slow + 10);
}

BOOST_AUTO_TEST_CASE(tally_burst_of_slow_queries_counts_once)
{
    const auto before = slow_down_after_usual_load();
    // Twenty queries at once, as a stall of the machine leaves them.
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
