#include <knapweedchute/admission/relay_admission.hpp>
#include <knapweedchute/admission/waiting_queue.hpp>
#include <knapweedchute/admission/workspace_queue.hpp>

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>
#include <set>

using namespace knapweedchute;

namespace {

struct workspace_queue_fixture
{
    waiting_queue queue;
    time_point now{seconds{1'000}};
    std::uint64_t next = 1;
    std::map<std::string, double> arrived;
    std::map<std::string, double> served;

    auto arrive(const std::string& workspace, milliseconds wait = milliseconds{200})
        -> waiting_request
    {
        queue.on_arrival("digest", 1, now, workspace);
        auto request = waiting_request{next++, "digest", 1, now + wait, workspace};
        queue.push(request);
        arrived[workspace] += 1.0;
        return request;
    }

    /// Rounds of 10 ms: `flood` requests of one workspace, `each` of nine others, of which a third
    /// can be admitted.
    auto overload(int rounds, double flood, double each) -> void
    {
        auto owed = std::map<std::string, double>{};
        auto capacity = 0.0;
        for (auto round = 0; round < rounds; ++round) {
            now += milliseconds{10};
            capacity += (flood + 9.0 * each) / 3.0;
            owed["flood"] += flood;
            for (auto other = 0; other < 9; ++other) {
                owed["w" + std::to_string(other)] += each;
            }
            for (auto& [workspace, count] : owed) {
                for (; count >= 1.0; count -= 1.0) {
                    arrive(workspace);
                }
            }
            while (queue.pop_expired(now)) {
            }
            for (; capacity >= 1.0 && queue.size() > 0; capacity -= 1.0) {
                served[queue.pop(now)->workspace] += 1.0;
            }
        }
    }

    auto served_share(const std::string& workspace) -> double
    {
        return served[workspace] / arrived[workspace];
    }
};

auto relayed(const route& matched, std::uint64_t id, const std::string& workspace, int priority,
             time_point now) -> admission_request
{
    return {id, "s0", &matched, now + seconds{2}, 0.5, milliseconds{20}, priority, workspace};
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(workspace_queue_suite, workspace_queue_fixture)

BOOST_AUTO_TEST_CASE(workspace_that_sends_twenty_times_as_much_starves_no_other_nor_itself)
{
    overload(2'000, 20.0, 1.0);
    constexpr auto all = 1.0 / 3.0;
    BOOST_TEST(served_share("flood") >= all / 4.0);
    for (auto other = 0; other < 9; ++other) {
        BOOST_TEST(served_share("w" + std::to_string(other)) >= 0.75);
    }
}

BOOST_AUTO_TEST_CASE(workspaces_that_ask_for_less_than_their_fair_part_are_served_nearly_fully)
{
    overload(2'000, 20.0, 0.5);
    constexpr auto all = 1.0 / 3.0;
    BOOST_TEST(served_share("flood") >= all / 4.0);
    for (auto other = 0; other < 9; ++other) {
        BOOST_TEST(served_share("w" + std::to_string(other)) >= 0.98);
    }
}

BOOST_AUTO_TEST_CASE(requests_admitted_without_waiting_count_for_their_workspace)
{
    for (auto index = 0; index < 10; ++index) {
        queue.on_arrival("digest", 1, now, "busy");
        queue.on_admitted("digest", now, "busy");
        queue.on_arrival("digest", 1, now, "other");
        queue.on_admitted("digest", now, index < 8 ? "other" : "busy");
    }
    arrive("busy", milliseconds{10});
    arrive("other", milliseconds{100});
    BOOST_TEST(queue.pop(now)->workspace == "other");
}

BOOST_AUTO_TEST_CASE(requests_of_one_workspace_are_admitted_in_the_order_of_their_latest_start)
{
    auto random = std::mt19937{1};
    auto wait = std::uniform_int_distribution<int>{1, 100};
    for (auto index = 0; index < 300; ++index) {
        arrive(index % 3 == 0 ? "a" : "b", milliseconds{wait(random)});
    }
    auto latest = std::map<std::string, time_point>{};
    while (const auto popped = queue.pop(now)) {
        BOOST_TEST((popped->latest_start >= latest[popped->workspace]));
        latest[popped->workspace] = popped->latest_start;
    }
    BOOST_TEST(queue.size() == 0U);
}

BOOST_AUTO_TEST_CASE(requests_without_a_workspace_are_admitted_as_in_one_queue_for_all)
{
    auto random = std::mt19937{1};
    auto wait = std::uniform_int_distribution<int>{1, 100};
    auto action = std::uniform_int_distribution<int>{0, 9};
    auto model = std::set<std::pair<time_point, std::uint64_t>>{};
    for (auto step = 0; step < 20'000; ++step) {
        now += milliseconds{action(random) == 0 ? 20 : 1};
        const auto drawn = action(random);
        if (drawn < 6) {
            const auto request = arrive("", milliseconds{wait(random)});
            model.emplace(request.latest_start, request.id);
        } else if (drawn < 8 && !model.empty()) {
            BOOST_REQUIRE(queue.pop(now)->id == model.begin()->second);
            model.erase(model.begin());
        } else if (drawn == 8 && !model.empty()) {
            const auto [latest, id] = *model.rbegin();
            BOOST_REQUIRE(queue.remove({id, "digest", 1, latest}));
            model.erase(std::prev(model.end()));
        } else if (const auto expired = queue.pop_expired(now)) {
            BOOST_REQUIRE(expired->id == model.begin()->second);
            model.erase(model.begin());
        }
        BOOST_REQUIRE(queue.size() == model.size());
        BOOST_REQUIRE(queue.admission_share("digest", "") == 1.0);
    }
}

BOOST_AUTO_TEST_CASE(idle_workspaces_are_forgotten_and_their_number_is_bounded)
{
    auto shares = workspace_queue{};
    for (auto index = 0; index < 10'000; ++index) {
        const auto name = "w" + std::to_string(index);
        shares.on_arrival(name, now);
        shares.push({next++, "digest", 1, now + milliseconds{index}, name});
    }
    BOOST_TEST(shares.workspace_count() <= workspace_queue::max_workspaces + 1);
    BOOST_TEST(shares.size() == 10'000U);
    while (shares.pop()) {
    }
    now += seconds{60};
    shares.on_arrival("one", now);
    BOOST_TEST(shares.workspace_count() == 1U);
}

BOOST_AUTO_TEST_CASE(request_of_a_weak_workspace_waits_while_those_of_a_flood_are_rejected)
{
    auto admission = relay_admission{1};
    auto matched = route{};
    matched.name = "digest";
    matched.latency_goal = milliseconds{160};
    matched.priority = 1;
    const auto arrives = [&](const std::string& workspace, int priority) {
        const auto request = relayed(matched, next++, workspace, priority, now);
        const auto decision = admission.on_arrival(request, now).decision;
        if (decision == admission_decision::start) {
            now += milliseconds{60};
            admission.on_end(request, request_end::overloaded, milliseconds{60}, now);
        }
        return decision;
    };
    for (auto index = 0; index < 300; ++index) {
        arrives("flood", 1);
    }
    // One runs; each slot takes 20 ms from here.
    const auto running = relayed(matched, next++, "flood", 1, now);
    BOOST_REQUIRE((admission.on_arrival(running, now).decision == admission_decision::start));
    for (auto index = 0; index < 60; ++index) {
        admission.on_end(running, request_end::in_time, milliseconds{5}, now);
        BOOST_REQUIRE((admission.on_arrival(running, now).decision == admission_decision::start));
    }
    auto rejected = 0;
    for (auto index = 0; index < 300; ++index) {
        const auto request = relayed(matched, next++, "flood", 1, now);
        rejected += admission.on_arrival(request, now).decision == admission_decision::reject;
    }
    BOOST_TEST(rejected > 200);
    const auto weak = relayed(matched, next++, "weak", 1, now);
    BOOST_TEST((admission.on_arrival(weak, now).decision == admission_decision::wait));
    admission.on_end(running, request_end::in_time, milliseconds{5}, now);
    BOOST_TEST((admission.admit_waiting("s0", now) == weak.id));
}

BOOST_AUTO_TEST_SUITE_END()
