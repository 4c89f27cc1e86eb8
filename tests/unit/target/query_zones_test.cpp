#include <knapweedchute/membership/address_selector.hpp>
#include <knapweedchute/membership/store_readers.hpp>
#include <knapweedchute/target/query_zones.hpp>

#include <boost/test/unit_test.hpp>

using namespace knapweedchute;

namespace {

struct zones_fixture
{
    target_registry registry;
    std::vector<member> members;

    zones_fixture()
    {
        for (const auto* shard : {"s0", "s1", "s2", "s3"}) {
            for (const auto* zone : {"a", "b"}) {
                add_target(shard, zone);
            }
        }
        add_target("s0", "c");
        for (const auto* zone : {"a", "b", "c", "d"}) {
            for (auto index = 0; index < 3; ++index) {
                auto added = member{};
                added.instance = std::string{zone} + std::to_string(index);
                added.availability_zone = zone;
                added.processor_permil = 250;
                members.push_back(added);
            }
        }
    }

    auto add_target(const std::string& service, const std::string& zone) -> void
    {
        registry.insert_or_update({service + "-" + zone, service, {}, zone, "v1", 2, 1, false, {}});
    }

    static auto table() -> route_table
    {
        auto query = route{};
        query.name = "query";
        query.shards = {"s0", "s1", "s2", "s3"};
        auto single = route{};
        single.name = "single";
        single.split = {{"one", 1.0}};
        return {1, {query, single}, {}, {}};
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(query_zones_suite, zones_fixture)

BOOST_AUTO_TEST_CASE(zones_with_targets_of_most_shards_are_near)
{
    BOOST_TEST((query_zones(table(), registry) == std::set<std::string>{"a", "b"}));
    registry.set_zone_excluded("a", true);
    BOOST_TEST((query_zones(table(), registry) == std::set<std::string>{"b"}));
    registry.set_zone_excluded("b", true);
    BOOST_TEST((query_zones(table(), registry) == std::set<std::string>{"c"}));
}

BOOST_AUTO_TEST_CASE(addresses_name_instances_in_near_zones_while_enough_are_alive)
{
    auto selector = address_selector{1};
    for (const auto& named : selector.select(members, {}, {}, {"a", "b"})) {
        BOOST_TEST((named.availability_zone == "a" || named.availability_zone == "b"));
    }
    BOOST_TEST(selector.select(members, {}, {}, {"a", "b"}).size() == 6U);
    // Three instances of one zone are fewer than callers need to fail over.
    BOOST_TEST(selector.select(members, {}, {}, {"a"}).size() == members.size());
}

BOOST_AUTO_TEST_CASE(addresses_after_the_loss_of_a_near_zone_name_the_others)
{
    auto selector = address_selector{1};
    for (auto& known : members) {
        known.state = known.availability_zone == "a" ? member_state::dead : member_state::alive;
    }
    const auto named = selector.select(members, {}, {}, {"a", "b"});
    BOOST_TEST(named.size() == 9U);
}

BOOST_AUTO_TEST_CASE(store_readers_of_a_large_fleet_do_not_grow_with_it)
{
    const auto readers = [&] {
        const auto per_zone = store_readers_per_zone(members);
        return std::count_if(members.begin(), members.end(), [&](const auto& known) {
            return is_store_reader(members, known, per_zone);
        });
    };
    BOOST_TEST(readers() == 4);
    for (auto index = 0; index < 300; ++index) {
        auto added = members.front();
        added.instance = "z" + std::to_string(index);
        members.push_back(added);
    }
    BOOST_TEST(readers() == 4);
    members.resize(9);
    BOOST_TEST(readers() == 9);
}

BOOST_AUTO_TEST_SUITE_END()
