#include <knapweedchute/move/move_evidence.hpp>
#include <knapweedchute/move/move_judge.hpp>
#include <knapweedchute/move/move_plan.hpp>
#include <knapweedchute/query/version_split.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <random>

using namespace knapweedchute;

namespace {

constexpr auto move = move_key{1};

struct move_fixture
{
    move_spec spec{"v2", 1'000, {10, 100, 500, 1'000}};
    move_view view;

    move_fixture()
    {
        view.old_version.queries = 10'000;
        view.unix_s = 500;
    }

    [[nodiscard]] auto decide() const -> move_decision { return decide_move(spec, view); }
};

/// Sends queries through a move with given failure shares until it ends.
auto run_move(std::uint64_t seed, double old_failures, double new_failures) -> move_decision
{
    auto random = std::mt19937_64{seed};
    auto unit = std::uniform_real_distribution<double>{0.0, 1.0};
    const auto spec = move_spec{"v2", 1'000, {10, 100, 500, 1'000}};
    auto view = move_view{};
    auto split = version_split{};
    auto decision = decide_move(spec, view);
    for (auto query = 0; query < 30'000 && decision.wanted == move_result::running; ++query) {
        const auto is_new = split.next_is_new(decision.share_permil);
        auto& counts = is_new ? view.new_version : view.old_version;
        counts.queries += 1;
        counts.incomplete += unit(random) < (is_new ? new_failures : old_failures) ? 1 : 0;
        decision = decide_move(spec, view);
    }
    return decision;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(move_suite, move_fixture)

BOOST_AUTO_TEST_CASE(split_small_share_is_exact_on_small_counts)
{
    auto split = version_split{};
    auto count = 0;
    for (auto query = 0; query < 1'000; ++query) {
        count += split.next_is_new(10) ? 1 : 0;
        BOOST_TEST(count <= (query + 1) / 100);
    }
    BOOST_TEST(count == 10);
}

BOOST_AUTO_TEST_CASE(move_without_evidence_stays_at_the_first_step)
{
    BOOST_TEST(decide().share_permil == 10);
}

BOOST_AUTO_TEST_CASE(move_with_evidence_goes_on)
{
    view.new_version.queries = 60;
    BOOST_TEST(decide().share_permil == 100);
    view.new_version.queries = 150;
    BOOST_TEST(decide().share_permil == 1'000);
    BOOST_TEST((decide().wanted == move_result::running));
}

BOOST_AUTO_TEST_CASE(move_with_long_proof_finishes)
{
    view.new_version.queries = 1'150;
    BOOST_TEST((decide().wanted == move_result::finished));
}

BOOST_AUTO_TEST_CASE(move_at_set_time_with_too_little_evidence_is_taken_back)
{
    view.new_version.queries = 60;
    view.unix_s = 1'000;
    BOOST_TEST((decide().wanted == move_result::taken_back));
    BOOST_TEST((decide().fault == move_fault::too_little_evidence));
    BOOST_TEST(decide().share_permil == 0);
}

BOOST_AUTO_TEST_CASE(move_latched_fault_stops_all_traffic)
{
    view.new_version.queries = 5'000;
    view.latched = move_fault::slow;
    BOOST_TEST(decide().share_permil == 0);
    BOOST_TEST((decide().wanted == move_result::taken_back));
}

BOOST_AUTO_TEST_CASE(move_recorded_end_is_obeyed)
{
    view.latched = move_fault::slow;
    view.recorded = move_result::finished;
    BOOST_TEST(decide().share_permil == 1'000);
    view.recorded = move_result::taken_back;
    BOOST_TEST(decide().share_permil == 0);
}

BOOST_AUTO_TEST_CASE(judge_fault_of_both_versions_is_no_fault_of_the_new)
{
    const auto old_version = version_tally{10'000, 3'000, 0, 0};
    BOOST_TEST((judge(old_version, {100, 33, 0, 0}) == move_fault::none));
}

BOOST_AUTO_TEST_CASE(judge_each_kind_of_fault_is_named)
{
    const auto old_version = version_tally{10'000, 10, 10, 10, 10'000};
    BOOST_TEST((judge(old_version, {50, 10, 0, 0}) == move_fault::incomplete));
    BOOST_TEST((judge(old_version, {50, 0, 10, 0}) == move_fault::empty));
    BOOST_TEST((judge(old_version, {50, 0, 0, 10, 50}) == move_fault::slow));
}

BOOST_AUTO_TEST_CASE(move_good_versions_in_200_runs_are_rarely_taken_back)
{
    auto taken_back = 0;
    for (auto seed = std::uint64_t{1}; seed <= 200; ++seed) {
        taken_back += run_move(seed, 0.01, 0.01).wanted == move_result::finished ? 0 : 1;
    }
    BOOST_TEST(taken_back <= 2);
}

BOOST_AUTO_TEST_CASE(move_grossly_bad_versions_in_200_runs_are_all_taken_back)
{
    auto missed = 0;
    for (auto seed = std::uint64_t{1}; seed <= 200; ++seed) {
        missed += run_move(seed, 0.01, 0.10).wanted == move_result::taken_back ? 0 : 1;
    }
    BOOST_TEST(missed == 0);
}

BOOST_AUTO_TEST_CASE(evidence_merged_in_any_order_and_repeated_is_the_same)
{
    BOOST_TEST(rc::check([](std::vector<std::uint8_t> counts, std::uint64_t seed) {
        auto rows = std::vector<evidence_row>{};
        for (auto index = std::size_t{0}; index < counts.size(); ++index) {
            auto row = evidence_row{};
            row.move = move;
            row.source = index % 3;
            row.new_version.queries = counts[index];
            row.latched = counts[index] == 7 ? move_fault::slow : move_fault::none;
            rows.push_back(row);
        }
        auto one = move_evidence{};
        auto other = move_evidence{};
        for (const auto& row : rows) {
            one.merge(row);
        }
        auto random = std::mt19937_64{seed};
        std::shuffle(rows.begin(), rows.end(), random);
        for (const auto& row : rows) {
            other.merge(row);
            other.merge(row);
        }
        RC_ASSERT(one.total(move) == other.total(move));
        RC_ASSERT(one.latched(move) == other.latched(move));
    }));
}

BOOST_AUTO_TEST_CASE(evidence_latched_fault_is_not_released_by_older_rows)
{
    auto evidence = move_evidence{};
    evidence.latch(move, move_fault::empty);
    evidence.merge({move, 1, {}, {}, move_fault::none, move_result::running});
    BOOST_TEST((evidence.latched(move) == move_fault::empty));
}

BOOST_AUTO_TEST_SUITE_END()
