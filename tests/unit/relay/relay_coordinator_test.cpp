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

const auto names =
    header_names{"Id", "Wait", "Only", "Not-Run", "Proof", "Proofs", "Missing", "Leaving"};

auto answer_with(unsigned status, field_list fields, std::string body) -> exchange_result
{
    auto result = exchange_result{};
    result.status = exchange_status::answered;
    result.answer = {status, std::move(fields), std::move(body)};
    return result;
}

auto end_with(exchange_status status, bool never_sent = false) -> exchange_result
{
    auto result = exchange_result{};
    result.status = status;
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
    extra_request_window extras{{0.2, 100.0, seconds{10}}};
    std::optional<double> cold_share;
    cold_limiter cold{[this](const auto& /*target*/) { return cold_share; }};
    version_monitor versions;
    counter_set counters;
    memory_budget memory{1'000'000, counters};
    relay_coordinator coordinator{
        {}, names, "a", {registry, port, timers, extras, cold, versions, counters, memory}, 1};
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

    /// A successful answer whose proof names the target and whose record names the service.
    static auto reply_to(const exchange_order& order) -> fake_reply
    {
        return {milliseconds{5}, answer_with(200, {{"Proof", "proof-" + order.target->id}},
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
        query.max_targets = 2;
        query.shards = {"s0", "s1", "s2", "s3"};
        query.top = 3;
        query.min_coverage = 0.5;
        auto single = route{};
        single.name = "single";
        single.host = "h";
        single.prefix = "/one/";
        single.idempotent = idempotent;
        single.timeout = milliseconds{1'000};
        single.latency_goal = milliseconds{300};
        single.max_targets = 2;
        single.split = {{"one", 1.0}};
        return std::make_shared<const route_table>(1, std::vector{query, single},
                                                   std::vector<service_rules>{}, caller_limits{});
    }

    auto start_request(const std::string& target, bool idempotent = true) -> call_id
    {
        auto request = relayed_request{"GET", target, "h", {{"Id", "r1"}}, {}, "r1", {}};
        return coordinator.start(table(idempotent), std::move(request),
                                 [this](auto answer) { answers.push_back(std::move(answer)); });
    }

    auto single_answer() -> const relayed_answer&
    {
        BOOST_REQUIRE(answers.size() == 1U);
        return answers.front();
    }

    auto header_value(const std::string& name) -> std::string
    {
        const auto* field = find_field(single_answer().fields, name);
        return field == nullptr ? "" : field->value;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(relay_coordinator_suite, relay_fixture)

BOOST_AUTO_TEST_CASE(query_with_all_shards_answered_merges_every_part)
{
    start_request("/q/x");
    timers.advance(milliseconds{200});
    BOOST_TEST(single_answer().status == 200U);
    BOOST_TEST(single_answer().body == record('3') + record('2') + record('1'));
    BOOST_TEST(header_value("Missing") == "0");
    BOOST_TEST(port.sent.size() == 4U);
    BOOST_TEST(coordinator.in_progress() == 0U);
}

BOOST_AUTO_TEST_CASE(query_with_an_unresponsive_target_is_hedged_within_the_goal)
{
    port.answer = [](const auto& order) {
        auto reply = reply_to(order);
        reply.after = order.target->id == "s0-x" ? duration{-1} : reply.after;
        return reply;
    };
    for (auto sent = 0; sent < 8; ++sent) {
        answers.clear();
        start_request("/q/x");
        timers.advance(milliseconds{136});
        BOOST_TEST(header_value("Missing") == "0");
        timers.advance(milliseconds{500});
    }
}

BOOST_AUTO_TEST_CASE(query_with_an_unresponsive_shard_is_answered_partially_at_the_goal)
{
    port.answer = [](const auto& order) {
        auto reply = reply_to(order);
        reply.after = order.target->service == "s0" ? duration{-1} : reply.after;
        return reply;
    };
    start_request("/q/x");
    timers.advance(milliseconds{130});
    BOOST_TEST(answers.empty());
    timers.advance(milliseconds{20});
    BOOST_TEST(single_answer().status == 200U);
    BOOST_TEST(header_value("Missing") == "1");
    BOOST_TEST(header_value("Proofs").find("s0") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(query_with_unreachable_coverage_fails_before_the_goal)
{
    port.answer = [](const auto& order) {
        return order.target->service == "s3"
                   ? reply_to(order)
                   : fake_reply{milliseconds{5}, answer_with(500, {{"Proof", "p"}}, "")};
    };
    start_request("/q/x");
    timers.advance(milliseconds{20});
    BOOST_TEST(single_answer().status == 502U);
}

BOOST_AUTO_TEST_CASE(query_without_targets_is_refused_as_not_run)
{
    for (const auto* service : {"s0", "s1", "s2", "s3"}) {
        registry.remove(std::string{service} + "-x", std::nullopt);
        registry.remove(std::string{service} + "-y", std::nullopt);
    }
    start_request("/q/x");
    BOOST_TEST(single_answer().status == 503U);
    BOOST_TEST(header_value("Retry-After") != "");
}

BOOST_AUTO_TEST_CASE(query_failure_with_proof_is_left_out_of_the_answer)
{
    port.answer = [](const auto& order) {
        return order.target->service == "s0"
                   ? fake_reply{milliseconds{5}, answer_with(500, {{"Proof", "bad"}}, record('z'))}
                   : reply_to(order);
    };
    start_request("/q/x");
    timers.advance(milliseconds{200});
    BOOST_TEST(header_value("Missing") == "1");
    BOOST_TEST(header_value("Proofs").find("bad") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(query_hedged_shard_contributes_one_part)
{
    port.answer = [](const auto& order) {
        auto reply = reply_to(order);
        reply.after = order.target->service == "s0" ? milliseconds{100} : reply.after;
        return reply;
    };
    start_request("/q/x");
    timers.advance(milliseconds{400});
    const auto proofs = header_value("Proofs");
    BOOST_TEST(std::count(proofs.begin(), proofs.end(), ',') == 3);
}

BOOST_AUTO_TEST_CASE(query_part_rejected_by_all_targets_is_sent_anew_within_the_goal)
{
    auto rejections = 2;
    port.answer = [&](const auto& order) {
        const auto rejects = order.target->service == "s0" && rejections-- > 0;
        return rejects ? fake_reply{milliseconds{1}, end_with(exchange_status::not_run)}
                       : reply_to(order);
    };
    start_request("/q/x");
    timers.advance(milliseconds{60});
    BOOST_TEST(single_answer().status == 200U);
    BOOST_TEST(header_value("Missing") == "0");
    BOOST_TEST(port.sent_to("s0-x") + port.sent_to("s0-y") == 3U);
}

BOOST_AUTO_TEST_CASE(query_part_rejected_again_and_again_is_left_out_before_the_goal)
{
    port.answer = [](const auto& order) {
        return order.target->service == "s0"
                   ? fake_reply{milliseconds{1}, end_with(exchange_status::not_run)}
                   : reply_to(order);
    };
    start_request("/q/x");
    timers.advance(milliseconds{150});
    BOOST_TEST(single_answer().status == 200U);
    BOOST_TEST(header_value("Missing") == "1");
    BOOST_TEST(port.sent_to("s0-x") + port.sent_to("s0-y") == 6U);
}

// Faulty targets' answers filled the memory of the process, which ended with all its requests.
BOOST_AUTO_TEST_CASE(query_whose_kept_answers_exceed_the_memory_fails_and_other_requests_go_on)
{
    port.answer = [](const auto& order) {
        auto reply = reply_to(order);
        if (order.target->service == "one") {
            reply.after = milliseconds{50};
        } else if (order.target->service == "s3") {
            reply.after = milliseconds{100};
        } else {
            reply.result.answer.body.assign(400'000, 'x');
        }
        return reply;
    };
    start_request("/one/x");
    start_request("/q/x");
    timers.advance(milliseconds{10});
    BOOST_TEST(single_answer().status == 502U);
    BOOST_TEST(memory.held() == 0U);
    timers.advance(milliseconds{200});
    BOOST_REQUIRE(answers.size() == 2U);
    BOOST_TEST(answers.back().status == 200U);
    BOOST_TEST(coordinator.in_progress() == 0U);
}

BOOST_AUTO_TEST_CASE(query_within_the_memory_returns_its_bytes_at_its_end)
{
    port.answer = [](const auto& order) {
        auto reply = reply_to(order);
        reply.result.answer.body.assign(200'000, 'x');
        return reply;
    };
    start_request("/q/x");
    timers.advance(milliseconds{200});
    BOOST_TEST(single_answer().status == 200U);
    BOOST_TEST(memory.highest() >= 600'000U);
    BOOST_TEST(memory.held() == 0U);
}

BOOST_AUTO_TEST_CASE(relay_answer_is_returned_unchanged)
{
    start_request("/one/x");
    timers.advance(milliseconds{10});
    BOOST_TEST(single_answer().status == 200U);
    BOOST_TEST(single_answer().body == record('e'));
    BOOST_TEST(header_value("Proof").starts_with("proof-one"));
}

BOOST_AUTO_TEST_CASE(relay_not_run_by_one_target_is_sent_to_another)
{
    port.answer = [this](const auto& order) {
        return port.sent.size() == 1
                   ? fake_reply{milliseconds{1}, end_with(exchange_status::not_run)}
                   : reply_to(order);
    };
    start_request("/one/x", false);
    timers.advance(milliseconds{10});
    BOOST_TEST(single_answer().status == 200U);
    BOOST_TEST(port.sent.size() == 2U);
    BOOST_TEST(port.sent[0].target->id != port.sent[1].target->id);
}

BOOST_AUTO_TEST_CASE(relay_not_run_by_any_target_is_refused_as_not_run)
{
    port.answer = [](const auto&) {
        return fake_reply{milliseconds{1}, end_with(exchange_status::not_run)};
    };
    start_request("/one/x", false);
    timers.advance(milliseconds{10});
    BOOST_TEST(single_answer().status == 503U);
    BOOST_TEST(header_value("Retry-After") != "");
}

BOOST_AUTO_TEST_CASE(relay_not_idempotent_after_a_broken_connection_is_not_retried_and_fails)
{
    port.answer = [](const auto&) {
        return fake_reply{milliseconds{1}, end_with(exchange_status::broken)};
    };
    start_request("/one/x", false);
    timers.advance(milliseconds{2'000});
    BOOST_TEST(single_answer().status == 502U);
    BOOST_TEST(port.sent.size() == 1U);
}

BOOST_AUTO_TEST_CASE(relay_not_idempotent_slow_is_never_hedged)
{
    port.answer = [](const auto& order) {
        auto reply = reply_to(order);
        reply.after = milliseconds{900};
        return reply;
    };
    start_request("/one/x", false);
    timers.advance(milliseconds{2'000});
    BOOST_TEST(single_answer().status == 200U);
    BOOST_TEST(port.sent.size() == 1U);
}

BOOST_AUTO_TEST_CASE(relay_not_run_after_a_broken_connection_is_not_reported_as_not_run)
{
    port.answer = [this](const auto&) {
        return fake_reply{
            milliseconds{1},
            end_with(port.sent.size() == 1 ? exchange_status::broken : exchange_status::not_run)};
    };
    start_request("/one/x");
    timers.advance(milliseconds{50});
    BOOST_TEST(single_answer().status == 502U);
}

// Callers repeat a request that must not run twice after such a status: review/2, REFUSED.
BOOST_AUTO_TEST_CASE(relay_run_by_a_target_that_answers_as_if_not_run_is_not_refused_as_not_run)
{
    for (const auto status : {408U, 421U, 429U, 503U}) {
        port.sent.clear();
        answers.clear();
        port.answer = [status](const auto&) {
            return fake_reply{milliseconds{1},
                              answer_with(status, {{"Proof", "p"}, {"Retry-After", "1"}}, "")};
        };
        start_request("/one/x", false);
        timers.advance(milliseconds{2'000});
        BOOST_TEST(single_answer().status == 502U, "target answered " << status);
        BOOST_TEST(header_value("Proof").empty());
        BOOST_TEST(header_value("Retry-After").empty());
        BOOST_TEST(port.sent.size() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(relay_idempotent_run_by_targets_that_answer_as_if_not_run_is_retried_and_fails)
{
    for (const auto status : {408U, 421U, 429U, 503U}) {
        port.sent.clear();
        answers.clear();
        port.answer = [status](const auto&) {
            return fake_reply{milliseconds{1}, answer_with(status, {{"Proof", "p"}}, "")};
        };
        start_request("/one/x");
        timers.advance(milliseconds{100});
        BOOST_TEST(single_answer().status == 502U, "targets answered " << status);
        BOOST_TEST(port.sent.size() == 2U, "targets answered " << status);
    }
}

BOOST_AUTO_TEST_CASE(relay_answered_as_if_not_run_while_a_hedge_is_open_times_out)
{
    port.answer = [this](const auto&) {
        const auto first = port.sent.size() == 1;
        return fake_reply{first ? milliseconds{500} : duration{-1}, answer_with(503, {}, "")};
    };
    start_request("/one/x");
    timers.advance(milliseconds{999});
    BOOST_TEST(port.sent.size() == 2U);
    BOOST_TEST(single_answer().status == 504U);
}

BOOST_AUTO_TEST_CASE(relay_failure_followed_by_an_answer_as_if_not_run_returns_the_failure)
{
    port.answer = [this](const auto& order) {
        const auto first = port.sent.size() == 1;
        return fake_reply{milliseconds{1},
                          answer_with(first ? 500 : 503, {{"Proof", order.target->id}}, "")};
    };
    start_request("/one/x");
    timers.advance(milliseconds{100});
    BOOST_TEST(single_answer().status == 500U);
    BOOST_TEST(header_value("Proof") == port.sent.front().target->id);
}

// Callers took a success that no target had proved for the whole answer: review/3, MIXED.
BOOST_AUTO_TEST_CASE(relay_success_without_proof_is_not_passed_on)
{
    for (const auto idempotent : {false, true}) {
        for (const auto status : {200U, 204U, 206U}) {
            port.sent.clear();
            answers.clear();
            port.answer = [status](const auto&) {
                return fake_reply{milliseconds{1}, answer_with(status, {}, record('z'))};
            };
            start_request("/one/x", idempotent);
            timers.advance(milliseconds{2'000});
            BOOST_TEST(single_answer().status == 502U, "target answered " << status);
            BOOST_TEST(single_answer().body != record('z'));
            BOOST_TEST(port.sent.size() == (idempotent ? 2U : 1U));
        }
    }
}

BOOST_AUTO_TEST_CASE(relay_failure_followed_by_a_success_without_proof_returns_the_failure)
{
    port.answer = [this](const auto& order) {
        const auto first = port.sent.size() == 1;
        return fake_reply{
            milliseconds{1},
            answer_with(first ? 500 : 200,
                        first ? field_list{{"Proof", order.target->id}} : field_list{}, "")};
    };
    start_request("/one/x");
    timers.advance(milliseconds{100});
    BOOST_TEST(single_answer().status == 500U);
    BOOST_TEST(header_value("Proof") == port.sent.front().target->id);
}

BOOST_AUTO_TEST_CASE(relay_without_an_answer_times_out_before_the_callers_deadline)
{
    port.answer = [](const auto&) { return fake_reply{duration{-1}, {}}; };
    start_request("/one/x");
    timers.advance(milliseconds{999});
    BOOST_TEST(single_answer().status == 504U);
    timers.advance(milliseconds{400});
    BOOST_TEST(port.cancelled == port.sent.size());
}

BOOST_AUTO_TEST_CASE(relay_cancelled_by_the_caller_cancels_its_exchanges_without_an_answer)
{
    port.answer = [](const auto&) { return fake_reply{duration{-1}, {}}; };
    const auto call = start_request("/one/x");
    timers.advance(milliseconds{10});
    coordinator.cancel(call);
    timers.advance(milliseconds{2'000});
    BOOST_TEST(port.cancelled == 1U);
    BOOST_TEST(port.sent.size() == 1U);
    BOOST_TEST(answers.empty());
}

BOOST_AUTO_TEST_CASE(relay_target_with_a_wrong_address_is_not_used_again)
{
    port.answer = [](const auto& order) {
        return order.target->id == "one-x"
                   ? fake_reply{milliseconds{1}, end_with(exchange_status::wrong_target)}
                   : reply_to(order);
    };
    for (auto sent = 0; sent < 20; ++sent) {
        start_request("/one/x", false);
        timers.advance(milliseconds{10});
    }
    BOOST_TEST(port.sent_to("one-x") <= 1U);
    BOOST_TEST(answers.size() == 20U);
}

BOOST_AUTO_TEST_CASE(relay_without_a_free_connection_waits_for_capacity)
{
    port.full = {"one-x", "one-y"};
    start_request("/one/x");
    timers.advance(milliseconds{20});
    BOOST_TEST(answers.empty());
    port.full.clear();
    coordinator.retry_waiting();
    timers.advance(milliseconds{20});
    BOOST_TEST(single_answer().status == 200U);
}

BOOST_AUTO_TEST_CASE(relay_waiting_while_its_zone_is_excluded_is_refused)
{
    port.full = {"one-x", "one-y"};
    start_request("/one/x");
    registry.set_zone_excluded("a", true);
    port.full.clear();
    coordinator.retry_waiting();
    timers.advance(milliseconds{20});
    BOOST_TEST(port.sent.empty());
    BOOST_TEST(single_answer().status == 503U);
}

BOOST_AUTO_TEST_CASE(relay_failed_at_shutdown_reports_not_run_only_if_never_sent)
{
    port.answer = [](const auto&) { return fake_reply{duration{-1}, {}}; };
    start_request("/one/x");
    port.full = {"one-x", "one-y"};
    start_request("/one/y");
    coordinator.fail_all();
    BOOST_REQUIRE(answers.size() == 2U);
    std::sort(answers.begin(), answers.end(),
              [](const auto& left, const auto& right) { return left.status < right.status; });
    BOOST_TEST(answers[0].status == 502U);
    BOOST_TEST(answers[1].status == 503U);
    BOOST_TEST(coordinator.in_progress() == 0U);
}

BOOST_AUTO_TEST_CASE(relay_unknown_route_is_not_found)
{
    start_request("/elsewhere/x");
    BOOST_TEST(single_answer().status == 404U);
    BOOST_TEST(counters.value(counter::queries_without_route) == 1U);
}

BOOST_AUTO_TEST_CASE(relay_unknown_route_is_not_denied_by_an_outdated_configuration)
{
    auto age = std::optional<duration>{};
    auto policy = relay_policy{};
    policy.max_refuse_age = seconds{3};
    auto subject = relay_coordinator{policy,
                                     names,
                                     "a",
                                     {registry, port, timers, extras, cold, versions, counters,
                                      memory, nullptr, nullptr, [&] { return age; }},
                                     1};
    const auto ask = [&](const std::string& path) {
        answers.clear();
        static_cast<void>(subject.start(table(true), {"GET", path, "h", {}, "", "r1", {}},
                                        [this](auto answer) { answers.push_back(answer); }));
        return single_answer().status;
    };
    BOOST_TEST(ask("/elsewhere/x") == 503U);
    age = milliseconds{3'001};
    BOOST_TEST(ask("/elsewhere/x") == 503U);
    BOOST_TEST(header_value("Retry-After") == "0.00");
    age = seconds{3};
    BOOST_TEST(ask("/elsewhere/x") == 404U);
}

BOOST_AUTO_TEST_CASE(relay_without_configuration_is_refused_as_not_run)
{
    static_cast<void>(coordinator.start(nullptr, {"GET", "/one/x", "h", {}, {}, "r", {}},
                                        [this](auto answer) { answers.push_back(answer); }));
    BOOST_TEST(single_answer().status == 503U);
}

BOOST_AUTO_TEST_CASE(relay_request_text_contains_target_and_time_left)
{
    start_request("/one/x");
    BOOST_REQUIRE(port.sent.size() == 1U);
    const auto& text = port.sent.front().text;
    BOOST_TEST(text.find("Only: " + port.sent.front().target->id) != std::string::npos);
    BOOST_TEST(text.find("Wait: 985") != std::string::npos);
    BOOST_TEST(text.starts_with("GET /one/x HTTP/1.1\r\nHost: h\r\nId: r1\r\n"));
}

BOOST_AUTO_TEST_CASE(relay_with_a_clock_that_advances_at_each_read_leaves_no_request_open)
{
    timers.creep = std::chrono::nanoseconds{1};
    registry.insert_or_update({"one-y", "one", {}, "b", "v1", 2, 1, false, {}});
    for (auto request = 0; request < 50; ++request) {
        start_request("/one/x");
        timers.advance(milliseconds{100});
    }
    BOOST_TEST(port.sent_to("one-x") >= 45U);
}

BOOST_AUTO_TEST_CASE(relay_cold_target_gets_at_most_its_share_and_the_other_gets_the_rest)
{
    cold_share = 2.0;
    auto cold_target = target_record{"one-x", "one", {}, "a", "v1", 2, 1, false, {}};
    cold_target.cold_until = timers.now() + seconds{100};
    registry.insert_or_update(cold_target);
    for (auto request = 0; request < 100; ++request) {
        start_request("/one/x");
        timers.advance(milliseconds{10});
    }
    timers.advance(milliseconds{100});
    BOOST_TEST(port.sent_to("one-x") <= 3U);
    BOOST_TEST(answers.size() == 100U);
    BOOST_TEST(std::all_of(answers.begin(), answers.end(),
                           [](const auto& answer) { return answer.status == 200U; }));
}

BOOST_AUTO_TEST_CASE(relay_with_only_cold_targets_without_a_share_is_refused_as_not_run)
{
    cold_share = 0.0;
    for (const auto* id : {"one-x", "one-y"}) {
        registry.insert_or_update(
            {id, "one", {}, "a", "v1", 2, 1, false, timers.now() + seconds{100}});
    }
    start_request("/one/x");
    BOOST_TEST(single_answer().status == 503U);
    BOOST_TEST(!header_value("Retry-After").empty());
    BOOST_TEST(port.sent.empty());
}

BOOST_AUTO_TEST_CASE(relay_version_on_trial_gets_its_share_of_first_sends_and_no_retries)
{
    add_target("one-new", "one");
    registry.insert_or_update({"one-new", "one", {}, "a", "v2", 2, 1, false, {}});
    registry.set_version_rule("one", version_rule{"v2", version_use::on_trial, 80});
    versions.start_counting("one", "v2");
    port.answer = [this](const auto& order) {
        return order.target->id == "one-new" ? fake_reply{milliseconds{1}, answer_with(500, {}, "")}
                                             : reply_to(order);
    };
    for (auto request = 0; request < 500; ++request) {
        start_request("/one/x");
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

BOOST_AUTO_TEST_CASE(relay_preferred_version_gets_all_requests_until_only_old_targets_are_left)
{
    registry.insert_or_update({"one-x", "one", {}, "a", "v2", 2, 1, false, {}});
    registry.set_version_rule("one", version_rule{"v2", version_use::preferred, 0});
    start_request("/one/x");
    timers.advance(milliseconds{100});
    BOOST_TEST(port.sent_to("one-x") == 1U);
    registry.remove("one-x", std::nullopt);
    start_request("/one/x");
    timers.advance(milliseconds{100});
    BOOST_TEST(port.sent_to("one-y") == 1U);
    BOOST_TEST(answers.back().status == 200U);
}

BOOST_AUTO_TEST_CASE(target_whose_answer_says_that_it_leaves_gets_no_more_requests)
{
    port.answer = [](const auto& order) {
        auto reply = reply_to(order);
        if (order.target->id == "one-x") {
            reply.result.answer.fields.push_back({"Leaving", "1"});
        }
        return reply;
    };
    const auto request_until_x_was_asked = [&] {
        for (auto index = 0; index < 50; ++index) {
            start_request("/one/a");
            timers.advance(milliseconds{20});
        }
    };
    request_until_x_was_asked();
    BOOST_TEST(port.sent_to("one-x") == 1U);
    // The entry is removed during an outage of the store and comes back unchanged.
    registry.remove("one-x", std::nullopt);
    registry.expire(timers.now());
    add_target("one-x", "one");
    request_until_x_was_asked();
    BOOST_TEST(port.sent_to("one-x") == 1U);
    // A later start under the same id is another target.
    registry.insert_or_update({"one-x", "one", {}, "a", "v1", 2, 2, false, {}});
    request_until_x_was_asked();
    BOOST_TEST(port.sent_to("one-x") == 2U);
}

BOOST_AUTO_TEST_CASE(target_that_answers_503_with_retry_after_gets_no_request_until_then)
{
    port.full.insert("one-y");
    auto rejecting = true;
    port.answer = [&rejecting](const auto& order) {
        if (rejecting && order.target->id == "one-x") {
            auto result = answer_with(503, {{"Retry-After", "1.5"}, {"Not-Run", "1"}}, "");
            result.status = exchange_status::not_run;
            return fake_reply{milliseconds{1}, result};
        }
        return reply_to(order);
    };
    const auto request_for = [&](duration time) {
        for (const auto end = timers.now() + time; timers.now() < end;) {
            start_request("/one/a");
            timers.advance(milliseconds{20});
        }
    };
    request_for(milliseconds{1'400});
    BOOST_TEST(port.sent_to("one-x") == 1U);
    rejecting = false;
    request_for(seconds{1});
    BOOST_TEST(port.sent_to("one-x") > 1U);
}

// Each request to a target that sends without end cost the process megabytes.
BOOST_AUTO_TEST_CASE(target_whose_answers_exceed_the_limits_gets_no_request_for_some_time)
{
    auto endless = true;
    port.answer = [&endless](const auto& order) {
        auto result = end_with(exchange_status::broken);
        result.oversized = true;
        return endless ? fake_reply{milliseconds{1}, result} : reply_to(order);
    };
    const auto next_status = [&] {
        answers.clear();
        start_request("/one/a", false);
        timers.advance(milliseconds{20});
        return single_answer().status;
    };
    BOOST_TEST(next_status() == 502U);
    BOOST_TEST(next_status() == 502U);
    BOOST_TEST(port.sent_to("one-x") == 1U);
    BOOST_TEST(port.sent_to("one-y") == 1U);
    endless = false;
    BOOST_TEST(next_status() == 503U);
    BOOST_TEST(port.sent.size() == 2U);
    timers.advance(seconds{3});
    BOOST_TEST(next_status() == 200U);
}

BOOST_AUTO_TEST_CASE(request_whose_targets_all_pause_waits_if_a_pause_ends_in_time)
{
    auto seconds_to_wait = std::string{"0.4"};
    auto rejecting = true;
    port.answer = [&](const auto& order) {
        if (rejecting) {
            auto result = answer_with(503, {{"Retry-After", seconds_to_wait}}, "");
            result.status = exchange_status::not_run;
            return fake_reply{milliseconds{1}, result};
        }
        return reply_to(order);
    };
    start_request("/one/a", false);
    timers.advance(milliseconds{50});
    rejecting = false;
    const auto asked = port.sent.size();
    answers.clear();
    start_request("/one/a", false);
    timers.advance(milliseconds{300});
    BOOST_TEST(answers.empty());
    BOOST_TEST(port.sent.size() == asked);
    timers.advance(milliseconds{200});
    coordinator.retry_waiting();
    timers.advance(milliseconds{50});
    BOOST_TEST(single_answer().status == 200U);
    // A pause beyond the time that is left fails at once, as not run.
    rejecting = true;
    seconds_to_wait = "30";
    start_request("/one/a", false);
    timers.advance(milliseconds{50});
    answers.clear();
    start_request("/one/a", false);
    timers.advance(milliseconds{1});
    BOOST_TEST(single_answer().status == 503U);
}

BOOST_AUTO_TEST_SUITE_END()
