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
    BOOST_TEST((limiter.room(warm, at(0)) == target_room::now));
}

BOOST_AUTO_TEST_CASE(cold_target_without_a_bound_is_not_limited)
{
    auto limiter = cold_limiter{[](const auto& /*target*/) { return std::nullopt; }};
    limiter.on_send(cold_target(), at(0));
    BOOST_TEST((limiter.room(cold_target(), at(0)) == target_room::now));
}

BOOST_AUTO_TEST_CASE(cold_target_is_paced_and_never_used_without_a_share)
{
    auto share = 4.0;
    auto limiter = cold_limiter{[&](const auto& /*target*/) { return share; }};
    BOOST_TEST((limiter.room(cold_target(), at(0)) == target_room::now));
    limiter.on_send(cold_target(), at(0));
    BOOST_TEST((limiter.room(cold_target(), at(249)) == target_room::later));
    BOOST_TEST((limiter.room(cold_target(), at(250)) == target_room::now));
    share = 0.0;
    BOOST_TEST((limiter.room(cold_target(), at(9'000)) == target_room::none));
}

// All instances want to send at every millisecond; the target counts any second that slides.
BOOST_AUTO_TEST_CASE(cold_target_all_instances_together_keep_the_bound)
{
    constexpr auto overage = 1.5; // Users' pages.
    constexpr auto slack = 5.0;   // Users' pages.
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
                    return rate_among(instances, target.where, name, limit);
                });
            }
            auto arrivals = std::vector<std::int64_t>{};
            for (auto ms = std::int64_t{0}; ms < 10'000; ++ms) {
                for (auto& one : limiters) {
                    if (one.room(cold_target(), at(ms)) == target_room::now) {
                        one.on_send(cold_target(), at(ms));
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
