#include <knapweedchute/route/caller_limits.hpp>
#include <knapweedchute/usage/usage_ledger.hpp>
#include <knapweedchute/usage/window_clock.hpp>
#include <knapweedchute/wire/envelope.hpp>

#include <boost/test/unit_test.hpp>

using namespace knapweedchute;

namespace {

struct ledger_fixture
{
    usage_ledger holder{{"a", 1}, 100};
    usage_ledger other{{"b", 1}, 100};

    [[nodiscard]] auto count(usage_window window, const std::string& workspace) const
        -> std::uint64_t
    {
        const auto totals = holder.totals(window);
        const auto found = totals.find(workspace);
        return found == totals.end() ? 0 : found->second;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(usage_ledger_suite, ledger_fixture)

BOOST_AUTO_TEST_CASE(statements_repeated_and_reordered_change_nothing)
{
    other.add(7, "x");
    const auto first = other.changes_after(0);
    other.add(7, "x");
    const auto second = other.changes_after(0);
    holder.add(7, "x");
    for (const auto& statement : {second, first, second, first}) {
        holder.merge(statement, 9);
    }
    BOOST_TEST(count(7, "x") == 3U);
}

BOOST_AUTO_TEST_CASE(statement_that_was_lost_is_made_up_by_the_next)
{
    other.add(7, "x");
    other.add(7, "y");
    other.add(8, "x");
    holder.merge(other.changes_after(0), 9);
    BOOST_TEST(count(7, "x") == 1U);
    BOOST_TEST(count(7, "y") == 1U);
    BOOST_TEST(count(8, "x") == 1U);
}

BOOST_AUTO_TEST_CASE(source_started_anew_adds_to_what_it_counted_before)
{
    other.add(7, "x");
    holder.merge(other.changes_after(0), 9);
    auto restarted = usage_ledger{{"b", 2}, 100};
    restarted.add(7, "x");
    holder.merge(restarted.changes_after(0), 9);
    BOOST_TEST(count(7, "x") == 2U);
}

BOOST_AUTO_TEST_CASE(closed_window_counts_nothing_more)
{
    other.add(7, "x");
    holder.close_through(7);
    holder.merge(other.changes_after(0), 9);
    BOOST_TEST(!holder.add(7, "x"));
    BOOST_TEST(!holder.first_window().has_value());
    BOOST_TEST(holder.add(8, "x"));
}

BOOST_AUTO_TEST_CASE(window_that_has_not_begun_is_left_out)
{
    other.add(70, "x");
    holder.merge(other.changes_after(0), 9);
    BOOST_TEST(holder.window_count() == 0U);
}

BOOST_AUTO_TEST_CASE(changes_are_stated_in_pieces_without_loss)
{
    auto many = usage_ledger{{"b", 1}, 10'000};
    for (auto workspace = 0; workspace < 5'000; ++workspace) {
        many.add(7, std::to_string(workspace));
    }
    auto known = usage_ledger{{"a", 1}, 10'000};
    auto change = std::uint64_t{0};
    auto pieces = 0;
    for (auto piece = many.changes_after(0); !piece.rows.empty();
         piece = many.changes_after(change)) {
        BOOST_TEST(piece.rows.size() <= max_statement_rows);
        known.merge(piece, 9);
        change = piece.change;
        ++pieces;
    }
    BOOST_TEST(pieces == 3);
    BOOST_TEST(known.totals(7).size() == 5'000U);
}

BOOST_AUTO_TEST_CASE(statement_of_long_names_fits_in_what_a_peer_takes_in)
{
    constexpr auto workspaces = 3'000;
    const auto codec = envelope{"test", message_key{"0123456789abcdef"}};
    auto subject = usage_ledger{{"a", 1}, std::size_t{10'000}};
    for (auto index = 0; index < workspaces; ++index) {
        const auto name = std::to_string(index);
        subject.add(5, name + std::string(max_workspace_name_bytes - name.size(), 'x'));
    }
    auto rows = std::size_t{0};
    for (auto piece = subject.changes_after(0); !piece.rows.empty();
         piece = subject.changes_after(piece.change)) {
        BOOST_TEST(codec.encode(piece).size() <= caller_limits{}.body_bytes);
        rows += piece.rows.size();
    }
    BOOST_TEST(rows == static_cast<std::size_t>(workspaces));
}

BOOST_AUTO_TEST_CASE(rows_beyond_the_limit_drop_the_oldest_window)
{
    for (auto workspace = 0; workspace < 101; ++workspace) {
        holder.add(workspace < 60 ? 7 : 8, std::to_string(workspace));
    }
    BOOST_TEST(holder.rows_dropped() == 60U);
    BOOST_TEST(*holder.first_window() == 8);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(window_clock_suite)

BOOST_AUTO_TEST_CASE(window_follows_the_time_since_the_start_not_the_wall_clock)
{
    const auto clock = window_clock{seconds{5}, seconds{1'000}, seconds{10}};
    BOOST_TEST(clock.window_at(seconds{10}) == 200);
    BOOST_TEST(clock.window_at(milliseconds{14'999}) == 200);
    BOOST_TEST(clock.window_at(seconds{15}) == 201);
    BOOST_TEST((clock.end_of(200) == seconds{1'005}));
}

BOOST_AUTO_TEST_CASE(clock_wrong_at_start_is_corrected_by_the_median_of_peers)
{
    auto clock = window_clock{seconds{5}, seconds{9'000}, seconds{10}};
    clock.on_statement("b", seconds{1'000}, seconds{10});
    clock.on_statement("c", seconds{1'000}, seconds{10});
    clock.on_statement("d", seconds{5}, seconds{10});
    clock.correct(clock.agreed_at(seconds{10}), seconds{10});
    BOOST_TEST((clock.unix_at(seconds{11}) == seconds{1'001}));
}

BOOST_AUTO_TEST_SUITE_END()
