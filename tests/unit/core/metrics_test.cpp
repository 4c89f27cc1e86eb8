#include <knapweedchute/core/gauge_text.hpp>
#include <knapweedchute/core/latency_histogram.hpp>
#include <knapweedchute/relay/relay_metrics.hpp>
#include <knapweedchute/relay/request_log.hpp>

#include <boost/test/unit_test.hpp>

using namespace knapweedchute;

namespace {

struct metrics_fixture
{
    route way;
    impl::relay_call call;
    time_point now{seconds{10}};

    metrics_fixture()
    {
        way.name = "search";
        way.idempotent = true;
        way.latency_goal = milliseconds{100};
        way.shards = {"a", "b"};
        call.matched_route = &way;
        call.started = now;
        call.request.id = "id-1";
        call.parts.resize(2);
        call.parts[0].answer = relayed_answer{};
        call.parts[1].answer = relayed_answer{};
    }

    [[nodiscard]] auto reason(unsigned status, milliseconds took) const -> log_reason
    {
        return request_log::reason_of(call, status, now + took);
    }
};

auto contains(const std::string& text, const std::string& wanted) -> bool
{
    return text.find(wanted) != std::string::npos;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(metrics_suite, metrics_fixture)

BOOST_AUTO_TEST_CASE(histogram_buckets_add_up_also_beyond_the_last)
{
    auto times = latency_histogram{};
    times.add(milliseconds{3});
    times.add(milliseconds{50});
    times.add(seconds{100});
    const auto text = times.prometheus_text("t", "x=\"1\"");
    BOOST_TEST(contains(text, "t_bucket{x=\"1\",le=\"0.002\"} 0\n"));
    BOOST_TEST(contains(text, "t_bucket{x=\"1\",le=\"0.005\"} 1\n"));
    BOOST_TEST(contains(text, "t_bucket{x=\"1\",le=\"0.06\"} 2\n"));
    BOOST_TEST(contains(text, "t_bucket{x=\"1\",le=\"10\"} 2\n"));
    BOOST_TEST(contains(text, "t_bucket{x=\"1\",le=\"+Inf\"} 3\n"));
    BOOST_TEST(contains(text, "t_count{x=\"1\"} 3\n"));
    BOOST_TEST(contains(times.prometheus_text("t", ""), "t_bucket{le=\"0.002\"} 0\n"));
}

BOOST_AUTO_TEST_CASE(gauge_has_its_type_and_value)
{
    BOOST_TEST(gauge_text("targets", "", 12.0) ==
               "# TYPE knapweedchute_targets gauge\nknapweedchute_targets 12\n");
}

BOOST_AUTO_TEST_CASE(requests_are_told_by_route_kind_and_outcome)
{
    auto metrics = relay_metrics{};
    metrics.on_request(call, 200, now + milliseconds{20});
    call.parts[1].answer.reset();
    metrics.on_request(call, 200, now + milliseconds{20});
    metrics.on_request(call, 503, now);
    const auto text = metrics.prometheus_text();
    for (const auto* outcome : {"whole", "partial", "refused"}) {
        BOOST_TEST(contains(text, "route=\"search\",kind=\"query\",outcome=\"" +
                                      std::string{outcome} + "\"} 1\n"));
    }
}

BOOST_AUTO_TEST_CASE(routes_without_end_share_a_label)
{
    auto metrics = relay_metrics{};
    for (auto index = 0; index < 1'000; ++index) {
        way.name = "r" + std::to_string(index);
        metrics.on_request(call, 200, now);
    }
    const auto text = metrics.prometheus_text();
    BOOST_TEST(contains(text, "route=\"other\""));
    BOOST_TEST(!contains(text, "route=\"r500\""));
}

BOOST_AUTO_TEST_CASE(request_is_written_about_for_what_matters_most)
{
    BOOST_TEST((reason(504, milliseconds{500}) == log_reason::failed));
    BOOST_TEST((reason(200, milliseconds{101}) == log_reason::late));
    BOOST_TEST((reason(200, milliseconds{50}) == log_reason::none));
    call.parts[0].answer.reset();
    BOOST_TEST((reason(200, milliseconds{101}) == log_reason::partial));
}

BOOST_AUTO_TEST_CASE(good_requests_are_sampled_by_their_id_alone)
{
    auto sampled = 0;
    for (auto index = 0; index < 20'480; ++index) {
        call.request.id = std::to_string(index);
        const auto first = reason(200, milliseconds{1});
        BOOST_REQUIRE((first == reason(200, milliseconds{60})));
        sampled += first == log_reason::sampled ? 1 : 0;
    }
    BOOST_TEST(sampled >= 8);
    BOOST_TEST(sampled <= 40);
}

BOOST_AUTO_TEST_SUITE_END()
