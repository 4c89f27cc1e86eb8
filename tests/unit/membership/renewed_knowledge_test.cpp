#include <knapweedchute/membership/limit_fraction.hpp>
#include <knapweedchute/membership/renewed_knowledge.hpp>

#include <boost/test/unit_test.hpp>

using namespace knapweedchute;

BOOST_AUTO_TEST_SUITE(renewed_knowledge_suite)

BOOST_AUTO_TEST_CASE(knowledge_after_a_pause_is_not_valid_until_peers_were_heard)
{
    auto knowledge = renewed_knowledge{milliseconds{1'500}, seconds{1}};
    BOOST_TEST(!knowledge.valid(seconds{10}));
    knowledge.renew(seconds{10});
    BOOST_TEST(knowledge.valid(seconds{11}));
    // Paused before the check, between two renewals.
    BOOST_TEST(!knowledge.valid(seconds{14}));
    // The first renewal after the pause knows no more than before it.
    knowledge.renew(seconds{14});
    BOOST_TEST(!knowledge.valid(milliseconds{14'900}));
    knowledge.renew(milliseconds{14'500});
    BOOST_TEST(knowledge.valid(seconds{15}));
}

BOOST_AUTO_TEST_CASE(fractions_of_all_instances_never_exceed_the_limit)
{
    for (auto total = std::size_t{1}; total <= 200; ++total) {
        for (auto preferred = std::size_t{0}; preferred <= total; ++preferred) {
            const auto sum =
                limit_fraction(preferred, total, true) * static_cast<double>(preferred) +
                limit_fraction(preferred, total, false) * static_cast<double>(total - preferred);
            BOOST_TEST(sum <= 1.0 + 1e-9);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
