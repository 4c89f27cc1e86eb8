#include <knapweedchute/admission/waiting_queue.hpp>

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <map>

using namespace knapweedchute;

namespace {

struct queue_fixture
{
    waiting_queue queue;
    time_point now{seconds{1'000}};
    std::uint64_t next = 1;

    auto arrive(const std::string& kind, int priority, milliseconds wait) -> waiting_request
    {
        queue.on_arrival(kind, priority, now);
        auto request = waiting_request{next++, kind, priority, now + wait};
        queue.push(request);
        return request;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(waiting_queue_suite, queue_fixture)

BOOST_AUTO_TEST_CASE(queue_within_a_kind_returns_the_request_that_must_start_first)
{
    arrive("a", 1, milliseconds{30});
    const auto urgent = arrive("a", 1, milliseconds{10});
    BOOST_TEST((queue.pop(now) == urgent));
    BOOST_TEST(queue.size() == 1U);
}

BOOST_AUTO_TEST_CASE(queue_under_overload_serves_kinds_by_priority_and_starves_none)
{
    auto arrived = std::map<std::string, double>{};
    auto served = std::map<std::string, double>{};
    const auto kinds = std::map<std::string, int>{{"first", 0}, {"second", 1}, {"fourth", 3}};
    for (auto round = 0; round < 4'000; ++round) {
        now += milliseconds{10};
        for (const auto& [kind, priority] : kinds) {
            arrive(kind, priority, milliseconds{200});
            arrived[kind] += 1.0;
        }
        while (queue.pop_expired(now)) {
        }
        served[queue.pop(now)->kind] += 1.0;
    }
    const auto share = [&](const std::string& kind) { return served[kind] / arrived[kind]; };
    constexpr auto tolerance = 0.02;
    BOOST_TEST(share("first") >= share("second"));
    BOOST_TEST(share("second") >= share("fourth"));
    for (const auto& [kind, priority] : kinds) {
        const auto bound = std::pow(waiting_queue::priority_weight, priority);
        BOOST_TEST(share(kind) >= share("first") * bound - tolerance, kind);
    }
}

BOOST_AUTO_TEST_CASE(queue_returns_expired_requests_and_forgets_removed_ones)
{
    const auto first = arrive("a", 1, milliseconds{10});
    const auto second = arrive("b", 2, milliseconds{50});
    BOOST_TEST(!queue.pop_expired(now + milliseconds{9}));
    BOOST_TEST((queue.pop_expired(now + milliseconds{10}) == first));
    BOOST_TEST(queue.remove(second));
    BOOST_TEST(!queue.remove(second));
    BOOST_TEST(!queue.pop(now));
}

BOOST_AUTO_TEST_CASE(queue_with_ten_thousand_requests_needs_no_scan)
{
    constexpr auto many = 10'000;
    const auto seconds_for = [&](int waiting) {
        auto filled = waiting_queue{};
        auto requests = std::vector<waiting_request>{};
        for (auto index = 0; index < waiting; ++index) {
            filled.on_arrival("k" + std::to_string(index % 4), 1, now);
            requests.push_back({next++, "k" + std::to_string(index % 4), 1,
                                now + milliseconds{index * 7919 % waiting}});
            filled.push(requests.back());
        }
        const auto begun = steady_clock::now();
        for (auto index = 0; index < many; ++index) {
            const auto popped = filled.pop(now);
            filled.push(*popped);
        }
        return std::chrono::duration<double>(steady_clock::now() - begun).count();
    };
    // A scan would take a hundred times as long.
    BOOST_TEST(seconds_for(many) < seconds_for(many / 100) * 20.0 + 0.01);
}

BOOST_AUTO_TEST_SUITE_END()
