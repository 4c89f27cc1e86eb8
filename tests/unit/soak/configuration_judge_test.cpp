#include "soak/configuration_probe.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace knapweedchute;
using namespace knapweedchute::soak;

namespace {

/// Two versions: the second, acknowledged at `acknowledged`, adds a route and removes another.
struct judge_fixture
{
    judge_fixture()
    {
        write(time_point{seconds{1}});
        const auto seen = [this] {
            const auto& all = history.versions();
            const auto adds = !all.front().routes.contains(history.added().back());
            return all.size() > 1 && adds && !history.removed().empty() &&
                   all.front().routes.contains(history.removed().back());
        };
        while (!seen()) {
            write(acknowledged);
        }
    }

    auto write(time_point when) -> void
    {
        history.draw_next(++number);
        history.on_sent(when);
        history.on_acknowledged(when);
    }

    auto answer(probe_kind kind, duration after, unsigned status, const std::string& service = "",
                milliseconds took = milliseconds{10}) -> std::size_t
    {
        const auto sent = acknowledged + after;
        judge.judge({kind, choose_route(history, kind, 0), "p1", 0, 1, sent, in_touch},
                    {status, service, sent + took, true});
        return judge.faults().size();
    }

    /// Time at which a request of the timed route ends as a version allows.
    [[nodiscard]] static auto end_of(const probed_version& version) -> milliseconds
    {
        return version.routes.at(configuration_history::timed_route).timeout - milliseconds{15};
    }

    static constexpr auto acknowledged = time_point{seconds{100}};
    static constexpr auto first = configuration_history::first_service;
    std::uint64_t number = 0;
    configuration_history history{7};
    configuration_judge judge{history};
    bool in_touch = true;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(configuration_judge_suite, judge_fixture)

BOOST_AUTO_TEST_CASE(added_route_refused_after_bound_is_a_fault)
{
    BOOST_TEST(answer(probe_kind::newest, milliseconds{2'990}, 404) == 0);
    BOOST_TEST(answer(probe_kind::newest, milliseconds{3'010}, 404) == 1);
}

BOOST_AUTO_TEST_CASE(added_route_refused_out_of_touch_is_no_fault)
{
    in_touch = false;
    BOOST_TEST(answer(probe_kind::newest, seconds{30}, 404) == 0);
}

BOOST_AUTO_TEST_CASE(added_route_not_run_is_no_fault)
{
    BOOST_TEST(answer(probe_kind::newest, seconds{30}, 503) == 0);
    BOOST_TEST(answer(probe_kind::newest, seconds{30}, 0) == 0);
}

BOOST_AUTO_TEST_CASE(removed_route_run_after_bound_is_a_fault)
{
    BOOST_TEST(answer(probe_kind::removed, milliseconds{2'990}, 200, first) == 0);
    BOOST_TEST(answer(probe_kind::removed, milliseconds{3'010}, 200, first) == 1);
}

BOOST_AUTO_TEST_CASE(route_that_never_was_run_is_a_fault_out_of_touch)
{
    in_touch = false;
    BOOST_TEST(answer(probe_kind::never, seconds{1}, 404) == 0);
    BOOST_TEST(answer(probe_kind::never, seconds{1}, 200, first) == 1);
}

BOOST_AUTO_TEST_CASE(route_of_all_versions_refused_is_a_fault_out_of_touch)
{
    in_touch = false;
    BOOST_TEST(answer(probe_kind::relocated, seconds{1}, 404) == 1);
}

BOOST_AUTO_TEST_CASE(time_out_of_older_version_after_bound_is_a_fault)
{
    const auto newest = end_of(history.versions().back());
    const auto other = newest < milliseconds{500} ? milliseconds{1'085} : milliseconds{385};
    BOOST_TEST(answer(probe_kind::timed, seconds{4}, 504, "", newest) == 0);
    BOOST_TEST(answer(probe_kind::timed, seconds{4}, 504, "", milliseconds{700}) == 0);
    BOOST_TEST(answer(probe_kind::timed, seconds{4}, 504, "", other) > 0);
}

BOOST_AUTO_TEST_CASE(older_version_after_newer_one_was_shown_is_a_fault)
{
    in_touch = false;
    BOOST_TEST(answer(probe_kind::newest, seconds{1}, 200, first) == 0);
    BOOST_TEST(answer(probe_kind::newest, milliseconds{1'200}, 404) == 0);
    BOOST_TEST(answer(probe_kind::newest, milliseconds{1'300}, 404) == 1);
}

BOOST_AUTO_TEST_CASE(window_with_an_older_version_is_a_fault)
{
    for (const auto kind : {probe_kind::newest, probe_kind::older, probe_kind::relocated,
                            probe_kind::split, probe_kind::removed, probe_kind::never}) {
        const auto route = choose_route(history, kind, 0);
        const auto& routes = history.versions().back().routes;
        const auto found = routes.find(route);
        if (found == routes.end()) {
            answer(kind, seconds{9}, 404);
        } else {
            answer(kind, seconds{9}, 200, found->second.parts.begin()->first);
        }
    }
    answer(probe_kind::timed, seconds{9}, 504, "", end_of(history.versions().back()));
    judge.expect_newest(1, "then");
    BOOST_TEST(judge.faults().empty());
    answer(probe_kind::newest, seconds{2}, 404);
    judge.expect_newest(1, "then");
    BOOST_TEST(!judge.faults().empty());
}

BOOST_AUTO_TEST_SUITE_END()
