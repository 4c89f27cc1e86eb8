#include "support/fake_exchange_port.hpp"
#include "support/manual_timer_queue.hpp"

#include <knapweedchute/relay/record_merge.hpp>
#include <knapweedchute/relay/relay_coordinator.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>

using namespace knapweedchute;
using namespace knapweedchute::test;

namespace {

const auto names = header_names{"Id", "Wait", "Only", "Not-Run", "Proof", "Proofs", "Missing"};

auto answered(unsigned status, field_list fields, std::string body) -> exchange_result
{
    auto result = exchange_result{};
    result.end = exchange_end::answered;
    result.answer = {status, std::move(fields), std::move(body)};
    return result;
}

auto ended(exchange_end end, bool never_sent = false) -> exchange_result
{
    auto result = exchange_result{};
    result.end = end;
    result.never_sent = never_sent;
    return result;
}

auto record(char letter) -> std::string
{
    return std::string(record_bytes, letter);
}

struct relay_fixture
{
    manual_timer_queue timers;
    target_registry registry;
    fake_exchange_port port{timers};
    extra_window extras{{0.2, 100.0, seconds{10}}};
    std::optional<double> cold_share;
    cold_limiter cold{[this](const auto& /*target*/) { return cold_share; }};
    version_monitor versions;
    counter_set counters;
    relay_coordinator coordinator{
        {}, names, "a", {registry, port, timers, extras, cold, versions, counters}, 1};
    std::vector<relayed_answer> answers;

    relay_fixture()
    {
        for (const auto* service : {"s0", "s1", "s2", "s3", "one"}) {
            add_target(std::string{service} + "-x", service);
            add_target(std::string{service} + "-y", service);
        }
        port.answer = [this](const auto& order) { return reply_to(order); };
    }

    auto add_target(const std::string& id, const std::string& service) -> void
    {
        registry.insert_or_update({id, service, {}, "a", "v1", 2, 1, false, {}});
    }

    /// A good answer whose proof and record name the target.
    static auto reply_to(const exchange_order& order) -> fake_reply
    {
        return {milliseconds{5}, answered(200, {{"Proof", "proof-" + order.target->id}},
                                          record(order.target->service.back()))};
    }

    static auto table(bool idempotent) -> std::shared_ptr<const route_table>
    {
        auto query = route{};
        query.name = "query";
        query.host = "h";
        query.prefix = "/q/";
        query.idempotent = true;
        query.timeout = milliseconds{800};
        query.latency_goal = milliseconds{150};
        query.most_targets = 2;
        query.shards = {"s0", "s1", "s2", "s3"};
        query.top = 3;
        query.least_coverage = 0.5;
        auto single = route{};
        single.name = "single";
        single.host = "h";
        single.prefix = "/one/";
        single.idempotent = idempotent;
        single.timeout = milliseconds{1'000};
        single.latency_goal = milliseconds{300};
        single.most_targets = 2;
        single.split = {{"one", 1.0}};
        return std::make_shared<const route_table>(1, std::vector{query, single},
                                                   std::vector<service_rules>{}, caller_limits{});
    }

    auto ask(const std::string& target, bool idempotent = true) -> call_id
    {
        auto request = relayed_request{"GET", target, "h", {{"Id", "r1"}}, {}, "r1", {}};
        return coordinator.start(table(idempotent), std::move(request),
                                 [this](auto answer) { answers.push_back(std::move(answer)); });
    }

    auto only_answer() -> const relayed_answer&
    {
        BOOST_REQUIRE(answers.size() == 1U);
        return answers.front();
    }

    auto value(const std::string& name) -> std::string
    {
        const auto* field = find_field(only_answer().fields, name);
        return field == nullptr ? "" : field->value;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(relay_coordinator_suite, relay_fixture)

BOOST_AUTO_TEST_CASE(query_all_shards_well_merges_every_part)
{
    ask("/q/x");
    timers.advance(milliseconds{200});
    BOOST_TEST(only_answer().status == 200U);
    BOOST_TEST(only_answer().body == record('3') + record('2') + record('1'));
    BOOST_TEST(value("Missing") == "0");
    BOOST_TEST(port.sent.size() == 4U);
    BOOST_TEST(coordinator.in_progress() == 0U);
}

BOOST_AUTO_TEST_CASE(query_one_target_silent_is_hedged_within_goal)
{
    port.answer = [](const auto& order) {
        auto reply = reply_to(order);
        reply.after = order.target->id == "s0-x" ? duration{-1} : reply.after;
        return reply;
    };
    for (auto sent = 0; sent < 8; ++sent) {
        answers.clear();
        ask("/q/x");
        timers.advance(milliseconds{136});
        BOOST_TEST(value("Missing") == "0");
        timers.advance(milliseconds{500});
    }
}

BOOST_AUTO_TEST_CASE(query_shard_lost_answers_in_part_at_the_goal)
{
    port.answer = [](const auto& order) {
        auto reply = reply_to(order);
        reply.after = order.target->service == "s0" ? duration{-1} : reply.after;
        return reply;
    };
    ask("/q/x");
    timers.advance(milliseconds{130});
    BOOST_TEST(answers.empty());
    timers.advance(milliseconds{20});
    BOOST_TEST(only_answer().status == 200U);
    BOOST_TEST(value("Missing") == "1");
    BOOST_TEST(value("Proofs").find("s0") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(query_coverage_out_of_reach_is_given_up_at_once)
{
    port.answer = [](const auto& order) {
        return order.target->service == "s3"
                   ? reply_to(order)
                   : fake_reply{milliseconds{5}, answered(500, {{"Proof", "p"}}, "")};
    };
    ask("/q/x");
    timers.advance(milliseconds{20});
    BOOST_TEST(only_answer().status == 502U);
}

BOOST_AUTO_TEST_CASE(query_no_targets_is_refused_as_not_run)
{
    for (const auto* service : {"s0", "s1", "s2", "s3"}) {
        registry.remove(std::string{service} + "-x", std::nullopt);
        registry.remove(std::string{service} + "-y", std::nullopt);
    }
    ask("/q/x");
    BOOST_TEST(only_answer().status == 503U);
    BOOST_TEST(value("Retry-After") != "");
}

BOOST_AUTO_TEST_CASE(query_failure_with_proof_is_no_part)
{
    port.answer = [](const auto& order) {
        return order.target->service == "s0"
                   ? fake_reply{milliseconds{5}, answered(500, {{"Proof", "bad"}}, record('z'))}
                   : reply_to(order);
    };
    ask("/q/x");
    timers.advance(milliseconds{200});
    BOOST_TEST(value("Missing") == "1");
    BOOST_TEST(value("Proofs").find("bad") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(query_two_targets_answer_one_shard_counts_one_part)
{
    port.answer = [](const auto& order) {
        auto reply = reply_to(order);
        reply.after = order.target->service == "s0" ? milliseconds{100} : reply.after;
        return reply;
    };
    ask("/q/x");
    timers.advance(milliseconds{400});
    const auto proofs = value("Proofs");
    BOOST_TEST(std::count(proofs.begin(), proofs.end(), ',') == 3);
}

BOOST_AUTO_TEST_CASE(relay_answer_passes_unchanged)
{
    ask("/one/x");
    timers.advance(milliseconds{10});
    BOOST_TEST(only_answer().status == 200U);
    BOOST_TEST(only_answer().body == record('e'));
    BOOST_TEST(value("Proof").starts_with("proof-one"));
}

BOOST_AUTO_TEST_CASE(relay_rejected_is_sent_to_another_target)
{
    port.answer = [this](const auto& order) {
        return port.sent.size() == 1 ? fake_reply{milliseconds{1}, ended(exchange_end::not_run)}
                                     : reply_to(order);
    };
    ask("/one/x", false);
    timers.advance(milliseconds{10});
    BOOST_TEST(only_answer().status == 200U);
    BOOST_TEST(port.sent.size() == 2U);
    BOOST_TEST(port.sent[0].target->id != port.sent[1].target->id);
}

BOOST_AUTO_TEST_CASE(relay_all_reject_is_refused_as_not_run)
{
    port.answer = [](const auto&) {
        return fake_reply{milliseconds{1}, ended(exchange_end::not_run)};
    };
    ask("/one/x", false);
    timers.advance(milliseconds{10});
    BOOST_TEST(only_answer().status == 503U);
    BOOST_TEST(value("Retry-After") != "");
}

BOOST_AUTO_TEST_CASE(relay_not_idempotent_broken_runs_once_and_promises_nothing)
{
    port.answer = [](const auto&) {
        return fake_reply{milliseconds{1}, ended(exchange_end::broken)};
    };
    ask("/one/x", false);
    timers.advance(milliseconds{2'000});
    BOOST_TEST(only_answer().status == 502U);
    BOOST_TEST(port.sent.size() == 1U);
}

BOOST_AUTO_TEST_CASE(relay_not_idempotent_slow_is_never_hedged)
{
    port.answer = [](const auto& order) {
        auto reply = reply_to(order);
        reply.after = milliseconds{900};
        return reply;
    };
    ask("/one/x", false);
    timers.advance(milliseconds{2'000});
    BOOST_TEST(only_answer().status == 200U);
    BOOST_TEST(port.sent.size() == 1U);
}

BOOST_AUTO_TEST_CASE(relay_rejected_after_a_send_of_unknown_end_promises_nothing)
{
    port.answer = [this](const auto&) {
        return fake_reply{milliseconds{1}, ended(port.sent.size() == 1 ? exchange_end::broken
                                                                       : exchange_end::not_run)};
    };
    ask("/one/x");
    timers.advance(milliseconds{50});
    BOOST_TEST(only_answer().status == 502U);
}

BOOST_AUTO_TEST_CASE(relay_no_answer_ends_before_the_callers_time)
{
    port.answer = [](const auto&) { return fake_reply{duration{-1}, {}}; };
    ask("/one/x");
    timers.advance(milliseconds{999});
    BOOST_TEST(only_answer().status == 504U);
    timers.advance(milliseconds{400});
    BOOST_TEST(port.cancelled == port.sent.size());
}

BOOST_AUTO_TEST_CASE(relay_caller_leaves_cancels_its_work_without_an_answer)
{
    port.answer = [](const auto&) { return fake_reply{duration{-1}, {}}; };
    const auto call = ask("/one/x");
    timers.advance(milliseconds{10});
    coordinator.leave(call);
    timers.advance(milliseconds{2'000});
    BOOST_TEST(port.cancelled == 1U);
    BOOST_TEST(port.sent.size() == 1U);
    BOOST_TEST(answers.empty());
}

BOOST_AUTO_TEST_CASE(relay_wrong_target_is_not_asked_again)
{
    port.answer = [](const auto& order) {
        return order.target->id == "one-x"
                   ? fake_reply{milliseconds{1}, ended(exchange_end::wrong_target)}
                   : reply_to(order);
    };
    for (auto sent = 0; sent < 20; ++sent) {
        ask("/one/x", false);
        timers.advance(milliseconds{10});
    }
    BOOST_TEST(port.sent_to("one-x") <= 1U);
    BOOST_TEST(answers.size() == 20U);
}

BOOST_AUTO_TEST_CASE(relay_all_connections_used_waits_for_room)
{
    port.full = {"one-x", "one-y"};
    ask("/one/x");
    timers.advance(milliseconds{20});
    BOOST_TEST(answers.empty());
    port.full.clear();
    coordinator.retry_waiting();
    timers.advance(milliseconds{20});
    BOOST_TEST(only_answer().status == 200U);
}

BOOST_AUTO_TEST_CASE(relay_zone_taken_out_while_waiting_is_obeyed)
{
    port.full = {"one-x", "one-y"};
    ask("/one/x");
    registry.set_zone_excluded("a", true);
    port.full.clear();
    coordinator.retry_waiting();
    timers.advance(milliseconds{20});
    BOOST_TEST(port.sent.empty());
    BOOST_TEST(only_answer().status == 503U);
}

BOOST_AUTO_TEST_CASE(relay_given_up_at_a_stop_is_answered_truly)
{
    port.answer = [](const auto&) { return fake_reply{duration{-1}, {}}; };
    ask("/one/x");
    port.full = {"one-x", "one-y"};
    ask("/one/y");
    coordinator.give_up_all();
    BOOST_REQUIRE(answers.size() == 2U);
    std::sort(answers.begin(), answers.end(),
              [](const auto& left, const auto& right) { return left.status < right.status; });
    BOOST_TEST(answers[0].status == 502U);
    BOOST_TEST(answers[1].status == 503U);
    BOOST_TEST(coordinator.in_progress() == 0U);
}

BOOST_AUTO_TEST_CASE(relay_unknown_route_is_not_found)
{
    ask("/elsewhere/x");
    BOOST_TEST(only_answer().status == 404U);
}

BOOST_AUTO_TEST_CASE(relay_without_configuration_is_refused_as_not_run)
{
    static_cast<void>(coordinator.start(nullptr, {"GET", "/one/x", "h", {}, {}, "r", {}},
                                        [this](auto answer) { answers.push_back(answer); }));
    BOOST_TEST(only_answer().status == 503U);
}

BOOST_AUTO_TEST_CASE(relay_order_names_target_and_time_left)
{
    ask("/one/x");
    BOOST_REQUIRE(port.sent.size() == 1U);
    const auto& text = port.sent.front().text;
    BOOST_TEST(text.find("Only: " + port.sent.front().target->id) != std::string::npos);
    BOOST_TEST(text.find("Wait: 985") != std::string::npos);
    BOOST_TEST(text.starts_with("GET /one/x HTTP/1.1\r\nHost: h\r\nId: r1\r\n"));
}

BOOST_AUTO_TEST_CASE(relay_clock_that_never_stands_still_leaves_no_request_counted_as_open)
{
    timers.creep = std::chrono::nanoseconds{1};
    registry.insert_or_update({"one-y", "one", {}, "b", "v1", 2, 1, false, {}});
    for (auto request = 0; request < 50; ++request) {
        ask("/one/x");
        timers.advance(milliseconds{100});
    }
    BOOST_TEST(port.sent_to("one-x") >= 45U);
}

BOOST_AUTO_TEST_CASE(relay_cold_target_gets_no_more_than_its_share_the_other_takes_over)
{
    cold_share = 2.0;
    auto cold_one = target_record{"one-x", "one", {}, "a", "v1", 2, 1, false, {}};
    cold_one.cold_until = timers.now() + seconds{100};
    registry.insert_or_update(cold_one);
    for (auto request = 0; request < 100; ++request) {
        ask("/one/x");
        timers.advance(milliseconds{10});
    }
    timers.advance(milliseconds{100});
    BOOST_TEST(port.sent_to("one-x") <= 3U);
    BOOST_TEST(answers.size() == 100U);
    BOOST_TEST(std::all_of(answers.begin(), answers.end(),
                           [](const auto& answer) { return answer.status == 200U; }));
}

BOOST_AUTO_TEST_CASE(relay_only_cold_targets_without_a_share_is_refused_as_not_run)
{
    cold_share = 0.0;
    for (const auto* id : {"one-x", "one-y"}) {
        registry.insert_or_update(
            {id, "one", {}, "a", "v1", 2, 1, false, timers.now() + seconds{100}});
    }
    ask("/one/x");
    BOOST_TEST(only_answer().status == 503U);
    BOOST_TEST(!value("Retry-After").empty());
    BOOST_TEST(port.sent.empty());
}

BOOST_AUTO_TEST_CASE(relay_version_on_trial_gets_its_share_and_nothing_that_is_sent_again)
{
    add_target("one-new", "one");
    registry.insert_or_update({"one-new", "one", {}, "a", "v2", 2, 1, false, {}});
    registry.set_version_rule("one", version_rule{"v2", version_use::on_trial, 80});
    versions.start_counting("one", "v2");
    port.answer = [this](const auto& order) {
        return order.target->id == "one-new" ? fake_reply{milliseconds{1}, answered(500, {}, "")}
                                             : reply_to(order);
    };
    for (auto request = 0; request < 500; ++request) {
        ask("/one/x");
        timers.advance(milliseconds{10});
    }
    timers.advance(milliseconds{100});
    BOOST_TEST(port.sent_to("one-new") == 40U);
    BOOST_TEST(std::all_of(answers.begin(), answers.end(),
                           [](const auto& answer) { return answer.status == 200U; }));
    const auto counts = versions.tallies("one");
    BOOST_TEST(counts.new_version.queries == 40U);
    BOOST_TEST(counts.new_version.incomplete == 40U);
    BOOST_TEST(counts.old_version.incomplete == 0U);
}

BOOST_AUTO_TEST_CASE(relay_version_preferred_gets_everything_old_targets_stand_in)
{
    registry.insert_or_update({"one-x", "one", {}, "a", "v2", 2, 1, false, {}});
    registry.set_version_rule("one", version_rule{"v2", version_use::preferred, 0});
    ask("/one/x");
    timers.advance(milliseconds{100});
    BOOST_TEST(port.sent_to("one-x") == 1U);
    registry.remove("one-x", std::nullopt);
    ask("/one/x");
    timers.advance(milliseconds{100});
    BOOST_TEST(port.sent_to("one-y") == 1U);
    BOOST_TEST(answers.back().status == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
