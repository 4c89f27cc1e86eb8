#include <knapweedchute/admission/concurrency_limit.hpp>

#include <boost/test/unit_test.hpp>

using namespace knapweedchute;

namespace {

struct limit_fixture
{
    concurrency_limit limit;
    time_point now{seconds{1'000}};

    auto end_many(request_end end, int count, std::size_t in_progress) -> void
    {
        for (auto index = 0; index < count; ++index) {
            now += milliseconds{20};
            limit.on_end(end, in_progress, milliseconds{20}, now);
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(concurrency_limit_suite, limit_fixture)

BOOST_AUTO_TEST_CASE(limit_with_overloaded_requests_falls_to_its_minimum)
{
    limit.set_min(2.0);
    end_many(request_end::overloaded, 200, 16);
    BOOST_TEST(limit.value() == 2.0);
    BOOST_TEST(limit.fell_within(seconds{1}, now));
}

BOOST_AUTO_TEST_CASE(limit_with_a_few_late_requests_does_not_fall)
{
    for (auto round = 0; round < 50; ++round) {
        end_many(request_end::in_time, 9, 16);
        end_many(request_end::overloaded, 1, 16);
    }
    BOOST_TEST(limit.value() >= concurrency_limit::initial_value);
    BOOST_TEST(!limit.fell_within(seconds{1}, now));
}

BOOST_AUTO_TEST_CASE(limit_after_an_overload_rises_again_while_it_is_used)
{
    end_many(request_end::overloaded, 200, 16);
    BOOST_TEST(limit.value() == 1.0);
    end_many(request_end::in_time, 20, 1);
    const auto before = limit.value();
    end_many(request_end::in_time, 400, 8);
    BOOST_TEST(limit.value() > before + 5.0);
    const auto unused = limit.value();
    end_many(request_end::in_time, 400, 1);
    BOOST_TEST(limit.value() == unused);
}

BOOST_AUTO_TEST_CASE(limit_without_evidence_does_not_change)
{
    end_many(request_end::no_evidence, 200, 64);
    BOOST_TEST(limit.value() == concurrency_limit::initial_value);
}

BOOST_AUTO_TEST_CASE(limit_falls_at_most_once_in_the_typical_latency)
{
    end_many(request_end::overloaded, 20, 16);
    const auto fallen = limit.value();
    for (auto index = 0; index < 5; ++index) {
        now += milliseconds{40};
        limit.on_end(request_end::overloaded, 16, seconds{1}, now);
    }
    BOOST_TEST(limit.value() == fallen);
}

BOOST_AUTO_TEST_SUITE_END()
