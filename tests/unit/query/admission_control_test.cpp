#include <knapweedchute/query/admission_control.hpp>

#include <boost/test/unit_test.hpp>

using namespace knapweedchute;

BOOST_AUTO_TEST_SUITE(admission_control_suite)

BOOST_AUTO_TEST_CASE(query_after_a_quiet_time_and_a_short_stall_is_admitted)
{
    constexpr auto seeds = std::uint64_t{200};
    constexpr auto max_in_progress = std::size_t{1'000};
    for (auto seed = std::uint64_t{1}; seed <= seeds; ++seed) {
        auto control = admission_control{max_in_progress, seed};
        auto now = time_point{seconds{1'000}};
        BOOST_TEST(control.admit(1.0, 0, now));
        control.on_finished(seconds{1});
        now += milliseconds{400};
        for (auto in_progress = std::size_t{0}; in_progress < 3; ++in_progress) {
            BOOST_TEST(control.admit(1.0, in_progress, now));
        }
        now += milliseconds{60};
        control.on_finished(seconds{1});
        BOOST_TEST(control.admit(1.0, 3, now), "refused with seed " << seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
