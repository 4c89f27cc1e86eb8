#include "soak/touch_record.hpp"

#include <boost/test/unit_test.hpp>

using namespace knapweedchute;
using namespace knapweedchute::soak;

namespace {

/// An instance that started 10 s ago.
struct touch_fixture
{
    touch_fixture() { touch.add_instance(now - seconds{10}); }

    static constexpr auto now = time_point{seconds{100}};
    touch_record touch;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(touch_record_suite, touch_fixture)

BOOST_AUTO_TEST_CASE(undisturbed_instance_is_in_touch)
{
    BOOST_TEST(touch.in_touch(0, now));
    BOOST_TEST(!touch.in_touch(0, now - seconds{7}));
}

BOOST_AUTO_TEST_CASE(refused_instance_is_out_of_touch_until_4_s_after)
{
    touch.set(0, touch_trouble::refused, true, now);
    BOOST_TEST(!touch.in_touch(0, now + seconds{9}));
    touch.set(0, touch_trouble::refused, false, now + seconds{9});
    BOOST_TEST(!touch.in_touch(0, now + milliseconds{12'990}));
    BOOST_TEST(touch.in_touch(0, now + seconds{13}));
}

BOOST_AUTO_TEST_CASE(end_of_what_did_not_last_disturbs_nothing)
{
    touch.set(0, touch_trouble::refused, false, now);
    touch.set_store_impaired(false, now);
    BOOST_TEST(touch.in_touch(0, now));
}

BOOST_AUTO_TEST_CASE(impaired_store_takes_all_out_of_touch_until_4_s_after)
{
    touch.set_store_impaired(true, now);
    BOOST_TEST(!touch.in_touch(0, now + seconds{9}));
    touch.set_store_impaired(false, now + seconds{9});
    BOOST_TEST(!touch.in_touch(0, now + milliseconds{12'990}));
    BOOST_TEST(touch.in_touch(0, now + seconds{13}));
}

BOOST_AUTO_TEST_CASE(held_up_soak_takes_all_out_of_touch)
{
    touch.on_pulse(now);
    BOOST_TEST(touch.in_touch(0, now + milliseconds{100}));
    BOOST_TEST(!touch.in_touch(0, now + milliseconds{200}));
    touch.on_pulse(now + milliseconds{200});
    BOOST_TEST(touch.hold_ups() == 1);
    BOOST_TEST(!touch.in_touch(0, now + milliseconds{220}));
}

BOOST_AUTO_TEST_SUITE_END()
