#include "support/history_checker.hpp"

#include <boost/test/unit_test.hpp>

using namespace knapweedchute;
using namespace knapweedchute::test;

namespace {

struct history_fixture
{
    driven_result ended;

    history_fixture()
    {
        ended.query = 1;
        ended.deadline = ended.ended + milliseconds{1};
        ended.result = query_answer{"v1", 1, 2, 2, {}, {{"s1d1", 1.0, {}}, {"s1d0", 0.0, {}}}};
    }

    auto answer() -> query_answer& { return std::get<query_answer>(ended.result); }

    auto rules() -> std::vector<violation> { return check_history({ended}); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(history_checker_suite, history_fixture)

BOOST_AUTO_TEST_CASE(checker_true_history_finds_nothing)
{
    BOOST_TEST(rules().empty());
}

BOOST_AUTO_TEST_CASE(checker_hit_of_other_snapshot_is_found)
{
    answer().hits[0].document = "s2d1";
    BOOST_TEST((rules() == std::vector<violation>{{"hit of another snapshot", 1}}));
}

BOOST_AUTO_TEST_CASE(checker_false_coverage_is_found)
{
    answer().answered = 1;
    BOOST_TEST(!rules().empty());
}

BOOST_AUTO_TEST_CASE(checker_hit_of_missing_shard_is_found)
{
    answer().answered = 1;
    answer().missing = {1};
    BOOST_TEST(!rules().empty());
}

BOOST_AUTO_TEST_CASE(checker_shard_counted_twice_is_found)
{
    answer().hits[0] = answer().hits[1];
    BOOST_TEST((rules() == std::vector<violation>{{"shard counted twice", 1}}));
}

BOOST_AUTO_TEST_CASE(checker_late_end_is_found)
{
    ended.ended = ended.deadline + milliseconds{5};
    BOOST_TEST((rules() == std::vector<violation>{{"ended after its deadline", 1}}));
}

BOOST_AUTO_TEST_CASE(checker_second_answer_is_found)
{
    BOOST_TEST(check_history({ended, ended}).size() == 1U);
}

BOOST_AUTO_TEST_CASE(checker_second_execution_is_found)
{
    auto target = fake_target{};
    target.executions["id"] = 1;
    const auto targets = std::map<address, fake_target>{{{1, 1}, target}, {{1, 2}, target}};
    BOOST_TEST(check_executions(targets).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
