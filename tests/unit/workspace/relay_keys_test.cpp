#include "support/fake_exchange_port.hpp"
#include "support/manual_timer_queue.hpp"

#include <knapweedchute/relay/relay_coordinator.hpp>
#include <knapweedchute/relay/request_encoder.hpp>

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace knapweedchute;
using namespace knapweedchute::test;

namespace {

const auto names =
    header_names{"Id", "Wait", "Only", "Not-Run", "Proof", "Proofs", "Missing", "Leaving"};

/// A query of two shards with two targets each, asked for with a key of a workspace.
struct keyed_fixture
{
    manual_timer_queue timers;
    target_registry registry;
    fake_exchange_port port{timers};
    extra_request_window extras{{0.2, 100.0, seconds{10}}};
    cold_limiter cold{[](const auto& /*target*/) { return std::optional<double>{}; }};
    version_monitor versions;
    counter_set counters;
    memory_budget memory{1'000'000, counters};
    key_digester digester{"secret"};
    std::vector<std::string> shards{"s0", "s1"};
    std::shared_ptr<const route_table> table = table_with("alpha");
    std::optional<duration> age = milliseconds{100};
    key_authority authority{
        {seconds{3}, seconds{2}}, [this] { return table.get(); }, [this] { return age; }};
    request_authorizer authorizer{"Workspace", digester, authority};
    relay_coordinator coordinator{
        {},
        names,
        "a",
        {registry, port, timers, extras, cold, versions, counters, memory, &authorizer},
        1};
    std::vector<relayed_answer> answers;
    fake_reply reply{milliseconds{-1}, {}};

    keyed_fixture()
    {
        for (const auto* id : {"s0-x", "s0-y", "s1-x", "s1-y"}) {
            registry.insert_or_update({id, std::string{id, 2}, {}, "a", "v1", 2, 1, false, {}});
        }
        port.answer = [this](const auto& /*order*/) { return reply; };
    }

    /// \param holder Workspace that holds the key; empty: none.
    [[nodiscard]] auto table_with(const std::string& holder) const
        -> std::shared_ptr<const route_table>
    {
        auto query = route{};
        query.name = "query";
        query.host = "h";
        query.prefix = "/q/";
        query.idempotent = true;
        query.timeout = milliseconds{800};
        query.latency_goal = milliseconds{150};
        query.max_targets = 2;
        query.shards = shards;
        query.top = 3;
        query.min_coverage = 1.0;
        auto entries = std::vector<workspace_keys>{{{"other", std::nullopt}, {}}};
        if (!holder.empty()) {
            entries.push_back({{holder, std::nullopt}, {digester.digest("secret-key")}});
        }
        return std::make_shared<const route_table>(
            1, std::vector{query}, std::vector<service_rules>{}, caller_limits{},
            std::make_shared<const workspace_directory>(std::move(entries)));
    }

    auto start() -> void
    {
        auto request = relayed_request{};
        request.method = "GET";
        request.target = "/q/x";
        request.host = "h";
        request.id = "r1";
        request.fields = {{"Id", "r1"}, {"Authorization", "Bearer secret-key"}, {"workspace", "x"}};
        std::ignore = coordinator.start(table, std::move(request), [this](auto answer) {
            answers.push_back(std::move(answer));
        });
    }

    [[nodiscard]] auto status() const -> unsigned
    {
        return answers.size() == 1 ? answers.front().status : 0U;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(relay_keys_suite, keyed_fixture)

BOOST_AUTO_TEST_CASE(request_with_a_key_names_its_workspace_once_in_every_part_and_hedge)
{
    start();
    timers.advance(milliseconds{700});
    BOOST_TEST(port.sent.size() > 2U);
    for (const auto& order : port.sent) {
        BOOST_TEST(order.text.find("secret-key") == std::string::npos);
        const auto named = order.text.find("Workspace: alpha\r\n");
        BOOST_TEST(named != std::string::npos);
        BOOST_TEST(order.text.find("orkspace:", named + 2) == std::string::npos);
        BOOST_TEST(order.text.find("workspace:") == std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(request_whose_key_is_taken_away_while_it_connects_may_not_be_sent)
{
    start();
    BOOST_REQUIRE(port.sent.size() == 2U);
    BOOST_REQUIRE(static_cast<bool>(port.sent.front().may_send));
    BOOST_TEST(port.sent.front().may_send());
    age = seconds{4};
    BOOST_TEST(!port.sent.front().may_send());
    age = seconds{1};
    table = table_with("");
    BOOST_TEST(!port.sent.front().may_send());
}

BOOST_AUTO_TEST_CASE(request_whose_key_is_taken_away_before_a_retry_is_refused_and_not_sent_again)
{
    shards = {"s0"};
    table = table_with("alpha");
    reply.after = milliseconds{5};
    reply.result.status = exchange_status::not_run;
    reply.result.never_sent = true;
    start();
    BOOST_REQUIRE(port.sent.size() == 1U);
    table = table_with("");
    timers.advance(milliseconds{700});
    BOOST_TEST(port.sent.size() == 1U);
    BOOST_TEST(status() == 401U);
}

BOOST_AUTO_TEST_CASE(request_whose_key_another_workspace_got_may_return_and_is_not_sent_again)
{
    shards = {"s0"};
    table = table_with("alpha");
    reply.after = milliseconds{5};
    reply.result.status = exchange_status::not_run;
    reply.result.never_sent = true;
    start();
    table = table_with("other-2");
    timers.advance(milliseconds{700});
    BOOST_TEST(port.sent.size() == 1U);
    BOOST_TEST(status() == 503U);
}

BOOST_AUTO_TEST_CASE(request_that_waits_for_capacity_is_not_sent_without_proof)
{
    port.full = {"s0-x", "s0-y", "s1-x", "s1-y"};
    start();
    BOOST_TEST(port.sent.empty());
    age = seconds{4};
    port.full.clear();
    coordinator.retry_waiting();
    timers.advance(milliseconds{700});
    BOOST_TEST(port.sent.empty());
    BOOST_TEST(status() == 503U);
}

BOOST_AUTO_TEST_CASE(request_whose_key_is_taken_away_is_not_hedged)
{
    start();
    BOOST_REQUIRE(port.sent.size() == 2U);
    table = table_with("");
    timers.advance(milliseconds{700});
    BOOST_TEST(port.sent.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
