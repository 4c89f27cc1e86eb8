#include <knapweedchute/config/configuration_holder.hpp>

#include <boost/test/unit_test.hpp>

using namespace knapweedchute;

namespace {

constexpr auto limit = seconds{5};

struct holder_fixture
{
    configuration_holder holder{limit};
    time_point now{seconds{100}};

    auto adopt_version(std::uint64_t version, const std::string& text = "t") -> adoption
    {
        return holder.adopt({version, "c" + std::to_string(version), text, {}});
    }

    auto fresh(time_point when) -> bool { return holder.fresh_until() >= when; }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(configuration_holder_suite, holder_fixture)

BOOST_AUTO_TEST_CASE(adopt_older_version_is_refused)
{
    BOOST_TEST((adopt_version(2) == adoption::adopted));
    BOOST_TEST((adopt_version(1) == adoption::refused));
    BOOST_TEST(holder.version() == 2U);
}

BOOST_AUTO_TEST_CASE(adopt_same_version_other_text_is_refused)
{
    static_cast<void>(adopt_version(2));
    BOOST_TEST((adopt_version(2, "other") == adoption::refused));
    BOOST_TEST((adopt_version(2) == adoption::already_active));
}

BOOST_AUTO_TEST_CASE(freshness_no_proof_is_not_fresh)
{
    static_cast<void>(adopt_version(1));
    BOOST_TEST(!fresh(now));
}

BOOST_AUTO_TEST_CASE(freshness_store_read_lasts_for_the_limit)
{
    static_cast<void>(adopt_version(1));
    holder.on_store_read(1, now);
    BOOST_TEST(fresh(now + limit));
    BOOST_TEST(!fresh(now + limit + milliseconds{1}));
}

BOOST_AUTO_TEST_CASE(freshness_store_read_of_another_version_proves_nothing)
{
    static_cast<void>(adopt_version(1));
    holder.on_store_read(2, now);
    BOOST_TEST(!fresh(now));
}

BOOST_AUTO_TEST_CASE(freshness_peer_message_carries_the_age_of_its_proof)
{
    static_cast<void>(adopt_version(1));
    holder.on_peer_message(1, seconds{3}, now);
    BOOST_TEST(fresh(now + seconds{2}));
    BOOST_TEST(!fresh(now + seconds{2} + milliseconds{1}));
}

BOOST_AUTO_TEST_CASE(freshness_store_unavailable_with_majority_in_contact_stays_fresh)
{
    static_cast<void>(adopt_version(1));
    holder.on_store_read(1, now);
    holder.set_majority_reachable(true);
    holder.on_peer_message(1, std::chrono::hours{1}, now + std::chrono::hours{1});
    BOOST_TEST(fresh(now + std::chrono::hours{1}));
}

BOOST_AUTO_TEST_CASE(freshness_without_store_and_majority_is_not_fresh)
{
    static_cast<void>(adopt_version(1));
    holder.on_store_read(1, now);
    holder.set_majority_reachable(false);
    holder.on_peer_message(1, std::chrono::hours{1}, now + std::chrono::hours{1});
    BOOST_TEST(!fresh(now + std::chrono::hours{1}));
}

BOOST_AUTO_TEST_CASE(freshness_instance_paused_for_a_minute_is_not_fresh)
{
    static_cast<void>(adopt_version(1));
    holder.on_store_read(1, now);
    holder.on_peer_message(1, seconds{0}, now);
    holder.set_majority_reachable(true);
    BOOST_TEST(!fresh(now + seconds{60}));
}

BOOST_AUTO_TEST_SUITE_END()
