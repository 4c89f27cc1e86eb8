#include <knapweedchute/relay/extra_request_window.hpp>
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

BOOST_AUTO_TEST_CASE(route_table_selects_the_longest_prefix_of_the_host)
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

BOOST_AUTO_TEST_CASE(weighted_split_with_uneven_weights_stays_within_one_request_of_the_share)
{
    auto split = weighted_split{};
    auto from = route{};
    from.name = "r";
    from.split = {{"one", 3.0}, {"two", 1.0}};
    auto count = 0;
    for (auto request = 1; request <= 400; ++request) {
        count += split.next_service(from) == "two" ? 1 : 0;
        BOOST_TEST(std::abs(count - request / 4.0) <= 1.0);
    }
}

BOOST_AUTO_TEST_CASE(merge_records_sorts_descending_and_keeps_equal_records)
{
    const auto low = std::string(record_bytes, '\x01');
    const auto high = std::string(record_bytes, '\xff');
    BOOST_TEST(merge_records({low + high, high + "rest"}, 3) == high + high + low);
    BOOST_TEST(merge_records({low + high}, 1) == high);
    BOOST_TEST(merge_records({"short"}, 5).empty());
}

BOOST_AUTO_TEST_CASE(hop_by_hop_fields_are_removed)
{
    auto fields = field_list{{"Connection", "close, X-Hop"},
                             {"x-hop", "1"},
                             {"X-Kept", "2"},
                             {"Transfer-Encoding", "chunked"},
                             {"Keep-Alive", "timeout=5"}};
    remove_connection_fields(fields);
    BOOST_TEST((fields == field_list{{"X-Kept", "2"}}));
}

BOOST_AUTO_TEST_CASE(load_of_an_open_request_rises_before_it_ends)
{
    auto load = replica_load{};
    load.on_send(at(0), milliseconds{20});
    BOOST_TEST(load.cost(at(10)) < 2.0);
    BOOST_TEST(load.cost(at(100)) > 5.0);
    load.on_end(at(0), at(200), milliseconds{20}, false);
    BOOST_TEST(load.cost(at(200)) > 2.0);
    BOOST_TEST(load.cost(at(20'000)) < 1.1);
}

BOOST_AUTO_TEST_CASE(load_with_fast_failures_costs_more_than_with_slow_answers)
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

BOOST_AUTO_TEST_CASE(extra_requests_of_all_instances_stay_within_the_limit)
{
    constexpr auto instances = std::size_t{9};
    auto windows = std::vector<extra_request_window>(
        instances, extra_request_window{{0.2, 58.0, seconds{10}}});
    auto taken = 0;
    for (auto& window : windows) {
        window.set_instance_count(instances);
        for (auto request = 0; request < 100; ++request) {
            window.on_request("s", at(request));
            taken += window.try_acquire("s", at(request)) ? 1 : 0;
        }
    }
    BOOST_TEST(taken <= 0.2 * 900 + 58);
    BOOST_TEST(taken >= 100);
}

BOOST_AUTO_TEST_CASE(extra_requests_are_granted_again_when_the_window_has_passed)
{
    auto window = extra_request_window{{0.0, 2.4, seconds{10}}};
    BOOST_TEST(window.try_acquire("s", at(0)));
    BOOST_TEST(window.try_acquire("s", at(0)));
    BOOST_TEST(!window.try_acquire("s", at(9'999)));
    BOOST_TEST(window.try_acquire("s", at(10'001)));
}

BOOST_AUTO_TEST_CASE(registry_removed_entry_is_usable_until_it_expires)
{
    auto registry = target_registry{};
    registry.insert_or_update(target("x"));
    registry.remove("x", at(2'000));
    registry.expire(at(1'999));
    BOOST_TEST(registry.usable("s").size() == 1U);
    registry.expire(at(2'000));
    BOOST_TEST(registry.usable("s").empty());
}

BOOST_AUTO_TEST_CASE(registry_entry_put_again_before_expiry_is_kept)
{
    auto registry = target_registry{};
    registry.insert_or_update(target("x"));
    registry.remove("x", at(2'000));
    registry.insert_or_update(target("x"));
    registry.expire(at(5'000));
    BOOST_TEST(registry.usable("s").size() == 1U);
}

BOOST_AUTO_TEST_CASE(registry_disowned_incarnation_stays_unusable_until_a_new_one)
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

BOOST_AUTO_TEST_CASE(registry_target_draining_or_in_an_excluded_zone_is_not_usable)
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

BOOST_AUTO_TEST_CASE(registry_put_reports_a_change_only_if_the_entry_differs)
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

BOOST_AUTO_TEST_CASE(registry_target_of_a_held_version_is_not_usable)
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
