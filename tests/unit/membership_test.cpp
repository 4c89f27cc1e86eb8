#include <knapweedchute/membership/address_selector.hpp>
#include <knapweedchute/membership/membership.hpp>
#include <knapweedchute/membership/ownership.hpp>
#include <knapweedchute/membership/store_readers.hpp>

#include <boost/test/unit_test.hpp>

#include <memory>
#include <set>

using namespace knapweedchute;

namespace {

constexpr auto tick_interval = milliseconds{50};

/// \brief Members that exchange datagrams in virtual time, with blocked links and packet loss.
struct membership_fixture
{
    time_point now{seconds{100}};
    std::vector<std::unique_ptr<membership>> nodes;
    std::set<std::size_t> stopped;
    std::set<std::pair<std::size_t, std::size_t>> blocked_links;
    double loss = 0.0;
    std::mt19937_64 random{1};
    std::uint64_t datagrams = 0;

    auto add(std::size_t count) -> void
    {
        for (auto index = std::size_t{0}; index < count; ++index) {
            const auto number = static_cast<std::uint16_t>(nodes.size() + 1);
            const auto self = member{"n" + std::to_string(number), "z", {1, number}, {}, {}, 1,
                                     member_state::alive};
            nodes.push_back(std::make_unique<membership>(self, std::vector<address>{{1, 1}},
                                                         membership_options{}, number));
        }
    }

    auto deliver(std::size_t from, const std::vector<outgoing>& messages) -> void
    {
        for (const auto& sent : messages) {
            ++datagrams;
            const auto to = std::size_t{sent.to.port} - 1U;
            auto unit = std::uniform_real_distribution<double>{0.0, 1.0};
            const auto lost = stopped.contains(to) || blocked_links.contains({from, to}) ||
                              blocked_links.contains({to, from}) || unit(random) < loss;
            if (!lost) {
                deliver(to, nodes[to]->receive(sent.message, now));
            }
        }
    }

    auto advance(duration time) -> void
    {
        for (const auto end = now + time; now < end; now += tick_interval) {
            for (auto index = std::size_t{0}; index < nodes.size(); ++index) {
                if (!stopped.contains(index)) {
                    deliver(index, nodes[index]->tick(now));
                }
            }
        }
    }

    auto observed_state(std::size_t observer, std::size_t subject) -> member_state
    {
        for (const auto& known : nodes[observer]->members()) {
            if (known.instance == nodes[subject]->self().instance) {
                return known.state;
            }
        }
        return member_state::left;
    }

    auto all_count_serving(std::size_t count) -> bool
    {
        for (auto index = std::size_t{0}; index < nodes.size(); ++index) {
            if (!stopped.contains(index) && nodes[index]->serving_count() != count) {
                return false;
            }
        }
        return true;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(membership_suite, membership_fixture)

BOOST_AUTO_TEST_CASE(members_started_together_discover_each_other)
{
    add(9);
    advance(seconds{10});
    BOOST_TEST(all_count_serving(9));
}

BOOST_AUTO_TEST_CASE(member_stopped_is_declared_dead_by_all_others)
{
    add(9);
    advance(seconds{10});
    stopped.insert(4);
    advance(seconds{12});
    BOOST_TEST(all_count_serving(8));
}

BOOST_AUTO_TEST_CASE(member_announcing_left_is_seen_as_left)
{
    add(5);
    advance(seconds{10});
    nodes[2]->announce(member_state::left);
    advance(seconds{1});
    stopped.insert(2);
    advance(seconds{2});
    BOOST_TEST((observed_state(0, 2) == member_state::left));
    BOOST_TEST((observed_state(4, 2) == member_state::left));
}

BOOST_AUTO_TEST_CASE(member_resumed_after_declared_dead_is_alive_again)
{
    add(5);
    advance(seconds{10});
    stopped.insert(1);
    advance(seconds{20});
    BOOST_TEST((observed_state(0, 1) == member_state::dead));
    stopped.erase(1);
    advance(seconds{20});
    BOOST_TEST((observed_state(0, 1) == member_state::alive));
    BOOST_TEST(all_count_serving(5));
}

BOOST_AUTO_TEST_CASE(member_unreachable_from_one_other_is_not_declared_dead)
{
    add(6);
    advance(seconds{10});
    blocked_links.insert({0, 1});
    advance(seconds{30});
    BOOST_TEST((observed_state(0, 1) <= member_state::suspect));
    BOOST_TEST((observed_state(3, 1) <= member_state::suspect));
}

BOOST_AUTO_TEST_CASE(members_with_20_percent_loss_are_not_declared_dead)
{
    add(9);
    advance(seconds{10});
    loss = 0.2;
    advance(seconds{120});
    BOOST_TEST(all_count_serving(9));
}

BOOST_AUTO_TEST_CASE(members_rejoin_after_partition_in_two_halves)
{
    add(6);
    advance(seconds{10});
    for (auto left = std::size_t{0}; left < 3; ++left) {
        for (auto right = std::size_t{3}; right < 6; ++right) {
            blocked_links.insert({left, right});
        }
    }
    advance(seconds{60});
    BOOST_TEST(nodes[0]->serving_count() == 3U);
    blocked_links.clear();
    advance(seconds{60});
    BOOST_TEST(all_count_serving(6));
}

BOOST_AUTO_TEST_CASE(member_isolated_reaches_no_majority)
{
    add(5);
    advance(seconds{10});
    BOOST_TEST(nodes[0]->majority_reachable());
    for (auto other = std::size_t{1}; other < 5; ++other) {
        blocked_links.insert({0, other});
    }
    advance(seconds{60});
    BOOST_TEST(!nodes[0]->majority_reachable());
    BOOST_TEST(nodes[1]->majority_reachable());
}

BOOST_AUTO_TEST_CASE(load_per_member_is_independent_of_member_count)
{
    const auto per_node = [](std::size_t count) {
        auto fleet = membership_fixture{};
        fleet.add(count);
        fleet.advance(seconds{30});
        fleet.datagrams = 0;
        fleet.advance(seconds{20});
        return static_cast<double>(fleet.datagrams) / static_cast<double>(count) / 20.0;
    };
    BOOST_TEST(per_node(64) <= per_node(8) * 1.2);
}

BOOST_AUTO_TEST_CASE(shares_of_all_instances_add_up_to_the_limit)
{
    for (auto count = 1; count <= 40; ++count) {
        auto names = std::vector<std::string>{};
        for (auto index = 0; index < count; ++index) {
            names.push_back("n" + std::to_string(index));
        }
        const auto sharing = ownership{names};
        for (const auto limit : {1, 25, 35, 110}) {
            auto total = std::int64_t{0};
            auto cold_total = std::int64_t{0};
            for (const auto& name : names) {
                const auto share = share_among(sharing.owners({1, 80}, limit), name, limit);
                total += share.connections;
                cold_total += share.max_concurrent_requests(std::min(4, limit));
            }
            BOOST_TEST(total == limit);
            BOOST_TEST(cold_total == std::min(4, limit));
        }
    }
}

BOOST_AUTO_TEST_CASE(shares_instance_removed_changes_owners_of_few_targets)
{
    auto names = std::vector<std::string>{};
    for (auto index = 0; index < 100; ++index) {
        names.push_back("n" + std::to_string(index));
    }
    const auto before = ownership{names};
    names.pop_back();
    const auto after = ownership{names};
    auto moved = 0;
    for (auto port = std::uint16_t{1}; port <= 1'000; ++port) {
        moved += before.owners({1, port}, 25) == after.owners({1, port}, 25) ? 0 : 1;
    }
    // 12 of 100 instances own each target, so one instance owns 12% of all targets.
    BOOST_TEST(moved < 180);
}

BOOST_AUTO_TEST_CASE(addresses_of_leaving_or_excluded_instances_are_not_selected)
{
    auto members = std::vector<member>{{"a", "z1", {}, {}, {}, 1, member_state::alive},
                                       {"b", "z1", {}, {}, {}, 1, member_state::leaving},
                                       {"c", "z2", {}, {}, {}, 1, member_state::alive},
                                       {"d", "z1", {}, {}, {}, 1, member_state::dead}};
    auto selector = address_selector{1};
    const auto selected = selector.select(members, {"z2"}, "z1");
    BOOST_REQUIRE(selected.size() == 1U);
    BOOST_TEST(selected.front().instance == "a");
}

BOOST_AUTO_TEST_CASE(store_readers_per_zone_match_the_requested_count)
{
    auto members = std::vector<member>{};
    for (auto index = 0; index < 30; ++index) {
        members.push_back({"n" + std::to_string(index),
                           index % 3 == 0 ? "z1" : "z2",
                           {},
                           {},
                           {},
                           1,
                           member_state::alive});
    }
    auto readers = 0;
    for (const auto& self : members) {
        readers += is_store_reader(members, self, 2) ? 1 : 0;
    }
    BOOST_TEST(readers == 4);
}

BOOST_AUTO_TEST_CASE(addresses_larger_instances_are_preferred_while_enough_are_alive)
{
    auto members = std::vector<member>{};
    for (auto number = 0; number < 20; ++number) {
        members.push_back({"n" + std::to_string(number),
                           "z",
                           {},
                           {},
                           {},
                           1,
                           member_state::alive,
                           number < 6 ? 500U : 120U});
    }
    BOOST_TEST(address_selector::preferred(members).size() == 6U);
    for (auto number = std::size_t{0}; number < 4; ++number) {
        members[number].state = member_state::suspect;
    }
    const auto remaining = address_selector::preferred(members);
    BOOST_TEST(remaining.size() == address_selector::min_addresses);
    BOOST_TEST(remaining.front().processor_permil == 500U);
    members[4].state = member_state::dead;
    members[5].state = member_state::dead;
    BOOST_TEST(address_selector::preferred(members).size() == 14U);
}

BOOST_AUTO_TEST_SUITE_END()
