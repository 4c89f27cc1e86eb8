#include <knapweedchute/relay/extra_window.hpp>
#include <knapweedchute/relay/http_field.hpp>
#include <knapweedchute/relay/record_merge.hpp>
#include <knapweedchute/relay/replica_load.hpp>
#include <knapweedchute/route/route_table.hpp>
#include <knapweedchute/route/weighted_split.hpp>
#include <knapweedchute/target/target_registry.hpp>

#include <boost/test/unit_test.hpp>

using namespace knapweedchute;

namespace {

auto at(std::int64_t ms) -> time_point
{
    return time_point{milliseconds{1'000'000 + ms}};
}

auto target(const std::string& id, std::int64_t born = 1) -> target_record
{
    return {id, "s", {}, "a", "v1", 2, born, false, {}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(relay_parts_suite)

BOOST_AUTO_TEST_CASE(route_table_longest_prefix_of_the_host_wins)
{
    auto wide = route{};
    wide.name = "wide";
    wide.host = "Shop.example";
    wide.prefix = "/a/";
    auto narrow = wide;
    narrow.name = "narrow";
    narrow.prefix = "/a/b/";
    const auto table = route_table{1, {wide, narrow}, {}, {}};
    BOOST_TEST(table.find("shop.example:80", "/a/b/c")->name == "narrow");
    BOOST_TEST(table.find("shop.example", "/a/bc")->name == "wide");
    BOOST_TEST(table.find("shop.example", "/b/") == nullptr);
    BOOST_TEST(table.find("other.example", "/a/") == nullptr);
}

BOOST_AUTO_TEST_CASE(split_uneven_weights_is_exact)
{
    auto split = weighted_split{};
    auto from = route{};
    from.name = "r";
    from.split = {{"one", 3.0}, {"two", 1.0}};
    auto count = 0;
    for (auto request = 1; request <= 400; ++request) {
        count += split.next(from) == "two" ? 1 : 0;
        BOOST_TEST(std::abs(count - request / 4.0) <= 1.0);
    }
}

BOOST_AUTO_TEST_CASE(merge_records_greatest_first_equal_ones_kept)
{
    const auto low = std::string(record_bytes, '\x01');
    const auto high = std::string(record_bytes, '\xff');
    BOOST_TEST(merge_records({low + high, high + "rest"}, 3) == high + high + low);
    BOOST_TEST(merge_records({low + high}, 1) == high);
    BOOST_TEST(merge_records({"short"}, 5).empty());
}

BOOST_AUTO_TEST_CASE(fields_of_one_connection_are_removed)
{
    auto fields = field_list{{"Connection", "close, X-Hop"},
                             {"x-hop", "1"},
                             {"X-Kept", "2"},
                             {"Transfer-Encoding", "chunked"},
                             {"Keep-Alive", "timeout=5"}};
    remove_connection_fields(fields);
    BOOST_TEST((fields == field_list{{"X-Kept", "2"}}));
}

BOOST_AUTO_TEST_CASE(load_open_request_counts_as_slowness_before_it_ends)
{
    auto load = replica_load{};
    load.on_send(at(0), milliseconds{20});
    BOOST_TEST(load.cost(at(10)) < 2.0);
    BOOST_TEST(load.cost(at(100)) > 5.0);
    load.on_end(at(0), at(200), milliseconds{20}, false);
    BOOST_TEST(load.cost(at(200)) > 2.0);
    BOOST_TEST(load.cost(at(20'000)) < 1.1);
}

BOOST_AUTO_TEST_CASE(load_quick_failures_cost_more_than_slowness)
{
    auto grey = replica_load{};
    auto slow = replica_load{};
    for (auto sent = std::int64_t{0}; sent < 100; sent += 10) {
        grey.on_send(at(sent), milliseconds{20});
        grey.on_end(at(sent), at(sent + 1), milliseconds{20}, true);
        slow.on_send(at(sent), milliseconds{20});
        slow.on_end(at(sent), at(sent + 60), milliseconds{20}, false);
    }
    BOOST_TEST(grey.cost(at(100)) > slow.cost(at(100)));
}

BOOST_AUTO_TEST_CASE(extras_all_instances_together_keep_the_bound)
{
    constexpr auto instances = std::size_t{9};
    auto windows = std::vector<extra_window>(instances, extra_window{{0.2, 58.0, seconds{10}}});
    auto taken = 0;
    for (auto& window : windows) {
        window.share_among(instances);
        for (auto request = 0; request < 100; ++request) {
            window.on_request("s", at(request));
            taken += window.take("s", at(request)) ? 1 : 0;
        }
    }
    BOOST_TEST(taken <= 0.2 * 900 + 58);
    BOOST_TEST(taken >= 100);
}

BOOST_AUTO_TEST_CASE(extras_window_slides)
{
    auto window = extra_window{{0.0, 2.4, seconds{10}}};
    BOOST_TEST(window.take("s", at(0)));
    BOOST_TEST(window.take("s", at(0)));
    BOOST_TEST(!window.take("s", at(9'999)));
    BOOST_TEST(window.take("s", at(10'001)));
}

BOOST_AUTO_TEST_CASE(registry_vanished_entry_is_held_and_then_dropped)
{
    auto registry = target_registry{};
    registry.insert_or_update(target("x"));
    registry.remove("x", at(2'000));
    registry.expire(at(1'999));
    BOOST_TEST(registry.usable("s").size() == 1U);
    registry.expire(at(2'000));
    BOOST_TEST(registry.usable("s").empty());
}

BOOST_AUTO_TEST_CASE(registry_entry_that_returns_is_kept)
{
    auto registry = target_registry{};
    registry.insert_or_update(target("x"));
    registry.remove("x", at(2'000));
    registry.insert_or_update(target("x"));
    registry.expire(at(5'000));
    BOOST_TEST(registry.usable("s").size() == 1U);
}

BOOST_AUTO_TEST_CASE(registry_disowned_lifetime_stays_out_a_new_one_comes_in)
{
    auto registry = target_registry{};
    registry.insert_or_update(target("x", 1));
    registry.mark_stale("x", 1);
    registry.insert_or_update(target("x", 1));
    BOOST_TEST(registry.usable("s").empty());
    auto colder = target("x", 1);
    colder.cold_until = at(9'000);
    registry.insert_or_update(colder);
    BOOST_TEST(registry.usable("s").empty());
    registry.insert_or_update(target("x", 2));
    BOOST_TEST(registry.usable("s").size() == 1U);
}

BOOST_AUTO_TEST_CASE(registry_draining_or_zone_out_is_not_usable)
{
    auto registry = target_registry{};
    auto leaving = target("x");
    leaving.draining = true;
    registry.insert_or_update(leaving);
    registry.insert_or_update(target("y"));
    BOOST_TEST(registry.usable("s").size() == 1U);
    registry.set_zone_excluded("a", true);
    BOOST_TEST(registry.usable("s").empty());
    registry.set_zone_excluded("a", false);
    BOOST_TEST(registry.usable("s").size() == 1U);
}

BOOST_AUTO_TEST_CASE(registry_entry_that_says_the_same_is_no_news)
{
    auto registry = target_registry{};
    auto cold = target("x");
    cold.cold_until = at(3'000);
    BOOST_TEST(registry.insert_or_update(cold));
    cold.cold_until = at(3'400);
    BOOST_TEST(!registry.insert_or_update(cold));
    cold.cold_until = at(3'600);
    BOOST_TEST(registry.insert_or_update(cold));
    BOOST_TEST(registry.insert_or_update(target("x")));
    BOOST_TEST(!registry.insert_or_update(target("x")));
    registry.remove("x", at(5'000));
    BOOST_TEST(registry.insert_or_update(target("x")));
    auto leaving = target("x");
    leaving.draining = true;
    BOOST_TEST(registry.insert_or_update(leaving));
}

BOOST_AUTO_TEST_CASE(registry_version_that_is_held_gets_nothing)
{
    auto registry = target_registry{};
    auto next = target("x");
    next.version = "v2";
    registry.insert_or_update(next);
    registry.insert_or_update(target("y"));
    registry.set_version_rule("s", version_rule{"v2", version_use::held, 0});
    BOOST_TEST(registry.usable("s").size() == 1U);
    BOOST_TEST(!registry.is_usable(next));
    registry.set_version_rule("s", std::nullopt);
    BOOST_TEST(registry.usable("s").size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
