#include <knapweedchute/query/version_split.hpp>
#include <knapweedchute/rollout/rollout_analysis.hpp>
#include <knapweedchute/rollout/rollout_evidence.hpp>
#include <knapweedchute/rollout/rollout_plan.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <random>

using namespace knapweedchute;

namespace {

constexpr auto rollout = rollout_key{1};

struct rollout_fixture
{
    rollout_spec spec{"v2", 1'000, {10, 100, 500, 1'000}};
    rollout_state state;

    rollout_fixture()
    {
        state.old_version.queries = 10'000;
        state.unix_s = 500;
    }

    [[nodiscard]] auto decide() const -> rollout_decision { return decide_rollout(spec, state); }
};

/// Simulates a rollout with the given failure shares until it ends.
auto run_rollout(std::uint64_t seed, double old_failures, double new_failures) -> rollout_decision
{
    auto random = std::mt19937_64{seed};
    auto unit = std::uniform_real_distribution<double>{0.0, 1.0};
    const auto spec = rollout_spec{"v2", 1'000, {10, 100, 500, 1'000}};
    auto state = rollout_state{};
    auto split = version_split{};
    auto decision = decide_rollout(spec, state);
    for (auto query = 0; query < 30'000 && decision.result_to_record == rollout_result::running;
         ++query) {
        const auto is_new = split.next_is_new(decision.share_permil);
        auto& counts = is_new ? state.new_version : state.old_version;
        counts.queries += 1;
        counts.incomplete += unit(random) < (is_new ? new_failures : old_failures) ? 1 : 0;
        decision = decide_rollout(spec, state);
    }
    return decision;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(rollout_suite, rollout_fixture)

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

BOOST_AUTO_TEST_CASE(rollout_without_evidence_stays_at_the_first_step)
{
    BOOST_TEST(decide().share_permil == 10);
}

BOOST_AUTO_TEST_CASE(rollout_with_evidence_advances_to_later_steps)
{
    state.new_version.queries = 60;
    BOOST_TEST(decide().share_permil == 100);
    state.new_version.queries = 150;
    BOOST_TEST(decide().share_permil == 1'000);
    BOOST_TEST((decide().result_to_record == rollout_result::running));
}

BOOST_AUTO_TEST_CASE(rollout_with_enough_queries_at_the_last_step_finishes)
{
    state.new_version.queries = 1'150;
    BOOST_TEST((decide().result_to_record == rollout_result::finished));
}

BOOST_AUTO_TEST_CASE(rollout_at_deadline_with_too_little_evidence_is_rolled_back)
{
    state.new_version.queries = 60;
    state.unix_s = 1'000;
    BOOST_TEST((decide().result_to_record == rollout_result::rolled_back));
    BOOST_TEST((decide().fault == rollout_fault::too_little_evidence));
    BOOST_TEST(decide().share_permil == 0);
}

BOOST_AUTO_TEST_CASE(rollout_with_detected_fault_stops_all_traffic)
{
    state.new_version.queries = 5'000;
    state.detected_fault = rollout_fault::slow;
    BOOST_TEST(decide().share_permil == 0);
    BOOST_TEST((decide().result_to_record == rollout_result::rolled_back));
}

BOOST_AUTO_TEST_CASE(rollout_recorded_result_takes_precedence)
{
    state.detected_fault = rollout_fault::slow;
    state.recorded_result = rollout_result::finished;
    BOOST_TEST(decide().share_permil == 1'000);
    state.recorded_result = rollout_result::rolled_back;
    BOOST_TEST(decide().share_permil == 0);
}

BOOST_AUTO_TEST_CASE(detect_fault_ignores_failures_of_both_versions)
{
    const auto old_version = version_tally{10'000, 3'000, 0, 0};
    BOOST_TEST((detect_fault(old_version, {100, 33, 0, 0}) == rollout_fault::none));
}

BOOST_AUTO_TEST_CASE(detect_fault_returns_each_kind_of_fault)
{
    const auto old_version = version_tally{10'000, 10, 10, 10, 10'000};
    BOOST_TEST((detect_fault(old_version, {50, 10, 0, 0}) == rollout_fault::incomplete));
    BOOST_TEST((detect_fault(old_version, {50, 0, 10, 0}) == rollout_fault::empty));
    BOOST_TEST((detect_fault(old_version, {50, 0, 0, 10, 50}) == rollout_fault::slow));
}

BOOST_AUTO_TEST_CASE(rollout_of_good_versions_is_rarely_rolled_back_in_200_runs)
{
    auto rolled_back = 0;
    for (auto seed = std::uint64_t{1}; seed <= 200; ++seed) {
        rolled_back +=
            run_rollout(seed, 0.01, 0.01).result_to_record == rollout_result::finished ? 0 : 1;
    }
    BOOST_TEST(rolled_back <= 2);
}

BOOST_AUTO_TEST_CASE(rollout_of_bad_versions_is_always_rolled_back_in_200_runs)
{
    auto missed = 0;
    for (auto seed = std::uint64_t{1}; seed <= 200; ++seed) {
        missed +=
            run_rollout(seed, 0.01, 0.10).result_to_record == rollout_result::rolled_back ? 0 : 1;
    }
    BOOST_TEST(missed == 0);
}

BOOST_AUTO_TEST_CASE(evidence_merged_in_any_order_and_repeated_is_the_same)
{
    BOOST_TEST(rc::check([](std::vector<std::uint8_t> counts, std::uint64_t seed) {
        auto rows = std::vector<evidence_row>{};
        for (auto index = std::size_t{0}; index < counts.size(); ++index) {
            auto row = evidence_row{};
            row.rollout = rollout;
            row.source = index % 3;
            row.new_version.queries = counts[index];
            row.detected_fault = counts[index] == 7 ? rollout_fault::slow : rollout_fault::none;
            rows.push_back(row);
        }
        auto in_order = rollout_evidence{};
        auto shuffled = rollout_evidence{};
        for (const auto& row : rows) {
            in_order.merge(row);
        }
        auto random = std::mt19937_64{seed};
        std::shuffle(rows.begin(), rows.end(), random);
        for (const auto& row : rows) {
            shuffled.merge(row);
            shuffled.merge(row);
        }
        RC_ASSERT(in_order.total(rollout) == shuffled.total(rollout));
        RC_ASSERT(in_order.detected_fault(rollout) == shuffled.detected_fault(rollout));
    }));
}

BOOST_AUTO_TEST_CASE(evidence_detected_fault_is_not_cleared_by_older_rows)
{
    auto evidence = rollout_evidence{};
    evidence.record_fault(rollout, rollout_fault::empty);
    evidence.merge({rollout, 1, {}, {}, rollout_fault::none, rollout_result::running});
    BOOST_TEST((evidence.detected_fault(rollout) == rollout_fault::empty));
}

BOOST_AUTO_TEST_SUITE_END()
