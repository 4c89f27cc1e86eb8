#include <knapweedchute/core/counter_set.hpp>
#include <knapweedchute/relay/impl/relay_call.hpp>
#include <knapweedchute/relay/request_log.hpp>
#include <knapweedchute/route/route.hpp>

#include <boost/test/unit_test.hpp>

namespace knapweedchute::test {
namespace {

struct request_log_fixture
{
    counter_set counters;
    request_log log{counters};
    route matched;
    impl::relay_call rejected;
    time_point now{seconds{1}};

    request_log_fixture() { rejected.matched_route = &matched; }

    auto use_up_lines() -> void
    {
        while (counters.value(counter::log_lines_held_back) == 0) {
            log.on_reject(rejected, "no room", {}, duration::zero(), now);
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(request_log_suite, request_log_fixture)

BOOST_AUTO_TEST_CASE(request_without_route_beside_many_rejected_ones_is_logged)
{
    use_up_lines();

    log.on_no_route({}, 7, seconds{1}, now);
    log.on_no_configuration({}, now);

    BOOST_TEST(counters.value(counter::log_lines_held_back) == 1U);
}

BOOST_AUTO_TEST_CASE(many_requests_without_route_are_held_back)
{
    for (auto count = 0; count < 1'000; ++count) {
        log.on_no_route({}, 7, std::nullopt, now);
    }

    BOOST_TEST(counters.value(counter::log_lines_held_back) > 900U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace knapweedchute::test
