#include <knapweedchute/core/line_budget.hpp>
#include <knapweedchute/core/parsed_line.hpp>

#include <boost/test/unit_test.hpp>

using namespace knapweedchute;

namespace {

auto at(std::int64_t ms) -> time_point
{
    return time_point{milliseconds{1'000'000 + ms}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(log_suite)

BOOST_AUTO_TEST_CASE(line_is_taken_apart_whatever_a_collector_puts_before_it)
{
    const auto line = parse_line(
        R"(  1.5 node-1 2026-01-01T00:00:01.000 level=WARN store: Entry not understood. key=a/b reason="no \"x\" there" empty="")");
    BOOST_REQUIRE(line);
    BOOST_TEST(line->time == "2026-01-01T00:00:01.000");
    BOOST_TEST(line->part == "store");
    BOOST_TEST(line->sentence == "Entry not understood.");
    BOOST_TEST(line->value("key") == "a/b");
    BOOST_TEST(line->value("reason") == R"(no "x" there)");
    BOOST_TEST(line->fields.size() == 3U);
    BOOST_TEST(line->value("missing").empty());
}

BOOST_AUTO_TEST_CASE(line_without_a_time_is_read)
{
    const auto line = parse_line("level=INFO log: Lines lost. count=3");
    BOOST_REQUIRE(line);
    BOOST_TEST(line->time.empty());
    BOOST_TEST(line->value("count") == "3");
}

BOOST_AUTO_TEST_CASE(line_of_another_program_is_none)
{
    for (const auto* other :
         {"", "level=", "level=INFO", "level=INFO hello", "a: b. c=d", "level=INFO part: no end"}) {
        BOOST_TEST(!parse_line(other).has_value());
    }
}

BOOST_AUTO_TEST_CASE(budget_holds_back_what_matters_less_first)
{
    auto budget = line_budget{10.0, 100.0};
    BOOST_TEST(budget.take(50.0, 0.5, at(0)));
    BOOST_TEST(!budget.take(1.0, 0.5, at(0)));
    BOOST_TEST(budget.take(50.0, 0.0, at(0)));
    BOOST_TEST(!budget.take(1.0, 0.0, at(0)));
    BOOST_TEST(!budget.take(11.0, 0.0, at(1'000)));
    BOOST_TEST(budget.take(10.0, 0.0, at(1'000)));
}

BOOST_AUTO_TEST_CASE(budget_burst_does_not_grow_with_quiet_time)
{
    auto budget = line_budget{10.0, 20.0};
    BOOST_TEST(!budget.take(21.0, 0.0, at(3'600'000)));
    BOOST_TEST(budget.take(20.0, 0.0, at(3'600'000)));
}

BOOST_AUTO_TEST_SUITE_END()
