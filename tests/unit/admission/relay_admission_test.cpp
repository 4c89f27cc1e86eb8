#include <knapweedchute/admission/relay_admission.hpp>
#include <knapweedchute/admission/service_capacity.hpp>

#include <boost/test/unit_test.hpp>

#include <set>

using namespace knapweedchute;

namespace {

struct admission_fixture
{
    relay_admission admission{1};
    route digest;
    time_point now{seconds{1'000}};
    std::uint64_t next = 1;

    admission_fixture()
    {
        digest.name = "digest";
        digest.latency_goal = milliseconds{160};
        digest.priority = 1;
        digest.shards = {"s0", "s1", "s2", "s3"};
        digest.min_coverage = 0.75;
    }

    auto request(const std::string& group = "s0") -> admission_request
    {
        return {next++, group, &digest, now + seconds{2}, 0.5, milliseconds{20}};
    }

    /// Lets requests end until the limit is at its minimum of one.
    auto overload() -> void
    {
        for (auto round = 0; round < 300; ++round) {
            const auto one = request();
            if (admission.on_arrival(one, now).decision == admission_decision::start) {
                now += milliseconds{60};
                admission.on_end(one, request_end::overloaded, milliseconds{60}, now);
            }
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(relay_admission_suite, admission_fixture)

BOOST_AUTO_TEST_CASE(request_without_overload_starts_at_once)
{
    for (auto index = 0; index < 10; ++index) {
        BOOST_TEST((admission.on_arrival(request(), now).decision == admission_decision::start));
    }
}

BOOST_AUTO_TEST_CASE(request_over_the_limit_waits_at_most_a_quarter_of_the_goal)
{
    overload();
    BOOST_TEST((admission.on_arrival(request(), now).decision == admission_decision::start));
    auto waiting = std::size_t{0};
    for (auto index = 0; index < 100; ++index) {
        const auto verdict = admission.on_arrival(request(), now);
        BOOST_REQUIRE((verdict.decision != admission_decision::start));
        BOOST_TEST((verdict.max_wait == milliseconds{40}));
        if (verdict.decision == admission_decision::wait) {
            BOOST_TEST((verdict.expected_wait <= verdict.max_wait));
            waiting += 1;
        }
    }
    BOOST_TEST(admission.waiting() == waiting);
    BOOST_TEST(waiting < 10U);
}

BOOST_AUTO_TEST_CASE(request_waiting_starts_when_another_of_its_group_ends)
{
    overload();
    const auto running = request();
    BOOST_REQUIRE((admission.on_arrival(running, now).decision == admission_decision::start));
    admission.on_end(running, request_end::in_time, milliseconds{10}, now);
    BOOST_REQUIRE((admission.on_arrival(running, now).decision == admission_decision::start));
    auto waiting = request();
    while (admission.on_arrival(waiting, now).decision != admission_decision::wait) {
        admission.on_end(running, request_end::in_time, milliseconds{5}, now);
        BOOST_REQUIRE((admission.on_arrival(running, now).decision == admission_decision::start));
        waiting = request();
    }
    BOOST_TEST(!admission.admit_waiting("s0", now).has_value());
    BOOST_TEST(!admission.admit_waiting("other", now).has_value());
    admission.on_end(running, request_end::in_time, milliseconds{10}, now);
    BOOST_TEST((admission.admit_waiting("s0", now) == waiting.id));
    BOOST_TEST(admission.waiting() == 0U);
}

BOOST_AUTO_TEST_CASE(request_withdrawn_is_never_admitted)
{
    overload();
    const auto running = request();
    static_cast<void>(admission.on_arrival(running, now));
    auto waiting = std::vector<admission_request>{};
    for (auto index = 0; index < 20; ++index) {
        waiting.push_back(request());
        static_cast<void>(admission.on_arrival(waiting.back(), now));
    }
    for (const auto& one : waiting) {
        admission.withdraw(one);
    }
    admission.on_end(running, request_end::in_time, milliseconds{10}, now);
    BOOST_TEST(admission.waiting() == 0U);
    BOOST_TEST(!admission.admit_waiting("s0", now).has_value());
}

BOOST_AUTO_TEST_CASE(return_times_of_rejected_callers_are_spread_and_bounded)
{
    auto schedule = return_schedule{1};
    auto times = std::set<duration>{};
    for (auto index = 0; index < 200; ++index) {
        const auto time = schedule.next(50.0, seconds{3}, 1, now);
        BOOST_TEST((time >= return_schedule::min_time));
        BOOST_TEST((time <= seconds{1}));
        times.insert(time);
    }
    BOOST_TEST(times.size() > 150U);
    BOOST_TEST((*times.rbegin() - *times.begin() > milliseconds{500}));
}

BOOST_AUTO_TEST_CASE(return_times_of_urgent_callers_are_earlier)
{
    auto urgent = return_schedule{1};
    auto other = return_schedule{1};
    for (auto index = 0; index < 10; ++index) {
        BOOST_TEST(
            (urgent.next(20.0, seconds{30}, 0, now) < other.next(20.0, seconds{30}, 2, now)));
    }
}

BOOST_AUTO_TEST_CASE(return_times_without_any_target_are_late_and_within_what_callers_heed)
{
    auto schedule = return_schedule{1};
    for (auto index = 0; index < 20; ++index) {
        const auto time = schedule.latest(milliseconds{900});
        BOOST_TEST((time >= milliseconds{225} && time <= milliseconds{300}));
        BOOST_TEST((schedule.latest(milliseconds{-5}) >= return_schedule::min_time));
    }
}

BOOST_AUTO_TEST_CASE(return_time_without_a_configuration_follows_the_time_waited)
{
    BOOST_TEST((retry_after_start(milliseconds{10}) == milliseconds{250}));
    BOOST_TEST((retry_after_start(seconds{2}) == seconds{1}));
    BOOST_TEST((retry_after_start(seconds{60}) == seconds{2}));
}

BOOST_AUTO_TEST_CASE(capacity_is_the_share_of_the_scarcest_needed_shard)
{
    auto registry = target_registry{};
    auto capacity = service_capacity{registry};
    capacity.set_instance_count(4);
    const auto add = [&](const std::string& service, std::int64_t slots) {
        registry.insert_or_update({service + "-x", service, {}, "a", "v1", slots, 1, false, {}});
    };
    add("s1", 2);
    add("s2", 4);
    BOOST_TEST(capacity.slots_of(digest, digest.shards) == 0.0);
    add("s3", 8);
    BOOST_TEST(capacity.slots_of(digest, digest.shards) == 0.5);
    add("s0", 6);
    BOOST_TEST(capacity.slots_of(digest, digest.shards) == 1.0);
}

BOOST_AUTO_TEST_SUITE_END()
