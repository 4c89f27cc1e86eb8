#include <knapweedchute/membership/ownership.hpp>
#include <knapweedchute/relay/cold_limiter.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <vector>

using namespace knapweedchute;

namespace {

auto cold_target() -> target_record
{
    return {"x", "s", {1, 80}, "a", "v1", 2, 1, false, time_point{seconds{1'000}}};
}

auto at(std::int64_t ms) -> time_point
{
    return time_point{milliseconds{1'000 + ms}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(cold_limiter_suite)

BOOST_AUTO_TEST_CASE(warm_target_is_not_limited)
{
    auto limiter = cold_limiter{[](const auto& /*target*/) { return 0.5; }};
    auto warm = cold_target();
    warm.cold_until = at(0);
    limiter.on_send(warm, at(0));
    BOOST_TEST((limiter.capacity(warm, at(0)) == target_capacity::now));
}

BOOST_AUTO_TEST_CASE(cold_target_without_a_limit_is_not_limited)
{
    auto limiter = cold_limiter{[](const auto& /*target*/) { return std::nullopt; }};
    limiter.on_send(cold_target(), at(0));
    BOOST_TEST((limiter.capacity(cold_target(), at(0)) == target_capacity::now));
}

BOOST_AUTO_TEST_CASE(cold_target_is_paced_to_its_share_and_unused_without_one)
{
    auto share = 4.0;
    auto limiter = cold_limiter{[&](const auto& /*target*/) { return share; }};
    BOOST_TEST((limiter.capacity(cold_target(), at(0)) == target_capacity::now));
    limiter.on_send(cold_target(), at(0));
    BOOST_TEST((limiter.capacity(cold_target(), at(249)) == target_capacity::later));
    BOOST_TEST((limiter.capacity(cold_target(), at(250)) == target_capacity::now));
    share = 0.0;
    BOOST_TEST((limiter.capacity(cold_target(), at(9'000)) == target_capacity::none));
}

// Every instance sends as often as it may, checked each millisecond. No sliding window of one
// second may hold more requests than the target's limit allows.
BOOST_AUTO_TEST_CASE(cold_target_requests_of_all_instances_stay_within_the_limit)
{
    constexpr auto overage = 1.5; // Permitted excess over the limit, as a factor.
    constexpr auto slack = 5.0;   // Permitted excess, requests.
    for (const auto limit : {0.5, 1.0, 3.0, 8.0, 20.0, 100.0}) {
        for (const auto count : {1, 9, 84}) {
            auto names = std::vector<std::string>{};
            for (auto index = 0; index < count; ++index) {
                names.push_back("i" + std::to_string(index));
            }
            const auto instances = ownership{names};
            auto limiters = std::vector<cold_limiter>{};
            for (const auto& name : names) {
                limiters.emplace_back([&](const auto& target) {
                    return rate_among(instances, target.target_address, name, limit);
                });
            }
            auto arrivals = std::vector<std::int64_t>{};
            for (auto ms = std::int64_t{0}; ms < 10'000; ++ms) {
                for (auto& limiter : limiters) {
                    if (limiter.capacity(cold_target(), at(ms)) == target_capacity::now) {
                        limiter.on_send(cold_target(), at(ms));
                        arrivals.push_back(ms);
                    }
                }
            }
            for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
                const auto last = std::lower_bound(first, arrivals.end(), *first + 1'000);
                BOOST_REQUIRE(static_cast<double>(last - first) <= limit * overage + slack);
            }
            BOOST_TEST(static_cast<double>(arrivals.size()) >= limit * 9.0);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
