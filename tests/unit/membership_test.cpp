#include <knapweedchute/membership/address_choice.hpp>
#include <knapweedchute/membership/membership.hpp>
#include <knapweedchute/membership/ownership.hpp>
#include <knapweedchute/membership/store_readers.hpp>

#include <boost/test/unit_test.hpp>

#include <memory>
#include <set>

using namespace knapweedchute;

namespace {

constexpr auto step = milliseconds{50};

/// Members that exchange datagrams in virtual time, with cuts and losses.
struct membership_fixture
{
    time_point now{seconds{100}};
    std::vector<std::unique_ptr<membership>> nodes;
    std::set<std::size_t> stopped;
    std::set<std::pair<std::size_t, std::size_t>> cuts;
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
            const auto lost = stopped.contains(to) || cuts.contains({from, to}) ||
                              cuts.contains({to, from}) || unit(random) < loss;
            if (!lost) {
                deliver(to, nodes[to]->receive(sent.message, now));
            }
        }
    }

    auto advance(duration time) -> void
    {
        for (const auto end = now + time; now < end; now += step) {
            for (auto index = std::size_t{0}; index < nodes.size(); ++index) {
                if (!stopped.contains(index)) {
                    deliver(index, nodes[index]->tick(now));
                }
            }
        }
    }

    auto state_seen(std::size_t by, std::size_t of) -> member_state
    {
        for (const auto& known : nodes[by]->members()) {
            if (known.instance == nodes[of]->self().instance) {
                return known.state;
            }
        }
        return member_state::left;
    }

    auto all_see(std::size_t count) -> bool
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

BOOST_AUTO_TEST_CASE(members_nine_started_all_know_all)
{
    add(9);
    advance(seconds{10});
    BOOST_TEST(all_see(9));
}

BOOST_AUTO_TEST_CASE(member_killed_is_declared_dead_by_all)
{
    add(9);
    advance(seconds{10});
    stopped.insert(4);
    advance(seconds{12});
    BOOST_TEST(all_see(8));
}

BOOST_AUTO_TEST_CASE(member_left_is_known_to_have_left)
{
    add(5);
    advance(seconds{10});
    nodes[2]->announce(member_state::left);
    advance(seconds{1});
    stopped.insert(2);
    advance(seconds{2});
    BOOST_TEST((state_seen(0, 2) == member_state::left));
    BOOST_TEST((state_seen(4, 2) == member_state::left));
}

BOOST_AUTO_TEST_CASE(member_frozen_then_woken_is_alive_again)
{
    add(5);
    advance(seconds{10});
    stopped.insert(1);
    advance(seconds{20});
    BOOST_TEST((state_seen(0, 1) == member_state::dead));
    stopped.erase(1);
    advance(seconds{20});
    BOOST_TEST((state_seen(0, 1) == member_state::alive));
    BOOST_TEST(all_see(5));
}

BOOST_AUTO_TEST_CASE(member_cut_from_one_other_is_not_declared_dead)
{
    add(6);
    advance(seconds{10});
    cuts.insert({0, 1});
    advance(seconds{30});
    BOOST_TEST((state_seen(0, 1) <= member_state::suspect));
    BOOST_TEST((state_seen(3, 1) <= member_state::suspect));
}

BOOST_AUTO_TEST_CASE(members_a_fifth_of_datagrams_lost_nobody_is_declared_dead)
{
    add(9);
    advance(seconds{10});
    loss = 0.2;
    advance(seconds{120});
    BOOST_TEST(all_see(9));
}

BOOST_AUTO_TEST_CASE(members_cut_in_two_halves_join_again_afterwards)
{
    add(6);
    advance(seconds{10});
    for (auto left = std::size_t{0}; left < 3; ++left) {
        for (auto right = std::size_t{3}; right < 6; ++right) {
            cuts.insert({left, right});
        }
    }
    advance(seconds{60});
    BOOST_TEST(nodes[0]->serving_count() == 3U);
    cuts.clear();
    advance(seconds{60});
    BOOST_TEST(all_see(6));
}

BOOST_AUTO_TEST_CASE(member_isolated_does_not_reach_a_majority)
{
    add(5);
    advance(seconds{10});
    BOOST_TEST(nodes[0]->majority_reachable());
    for (auto other = std::size_t{1}; other < 5; ++other) {
        cuts.insert({0, other});
    }
    advance(seconds{60});
    BOOST_TEST(!nodes[0]->majority_reachable());
    BOOST_TEST(nodes[1]->majority_reachable());
}

BOOST_AUTO_TEST_CASE(load_per_member_does_not_grow_with_their_number)
{
    const auto per_node = [](std::size_t count) {
        auto run = membership_fixture{};
        run.add(count);
        run.advance(seconds{30});
        run.datagrams = 0;
        run.advance(seconds{20});
        return static_cast<double>(run.datagrams) / static_cast<double>(count) / 20.0;
    };
    BOOST_TEST(per_node(64) <= per_node(8) * 1.2);
}

BOOST_AUTO_TEST_CASE(shares_any_number_of_instances_stay_within_the_limit)
{
    for (auto count = 1; count <= 40; ++count) {
        auto names = std::vector<std::string>{};
        for (auto index = 0; index < count; ++index) {
            names.push_back("n" + std::to_string(index));
        }
        const auto sharing = ownership{names};
        for (const auto limit : {1, 25, 35, 110}) {
            auto total = std::int64_t{0};
            auto cold = std::int64_t{0};
            for (const auto& name : names) {
                const auto share = share_among(sharing.owners({1, 80}, limit), name, limit);
                total += share.connections;
                cold += share.of(std::min(4, limit));
            }
            BOOST_TEST(total == limit);
            BOOST_TEST(cold == std::min(4, limit));
        }
    }
}

BOOST_AUTO_TEST_CASE(shares_one_instance_gone_moves_few_targets)
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
    // 12 of 100 instances own each target, so one of them owns 12% of all targets.
    BOOST_TEST(moved < 180);
}

BOOST_AUTO_TEST_CASE(addresses_leaving_and_zone_out_are_never_given)
{
    auto members = std::vector<member>{{"a", "z1", {}, {}, {}, 1, member_state::alive},
                                       {"b", "z1", {}, {}, {}, 1, member_state::leaving},
                                       {"c", "z2", {}, {}, {}, 1, member_state::alive},
                                       {"d", "z1", {}, {}, {}, 1, member_state::dead}};
    auto choice = address_choice{1};
    const auto chosen = choice.choose(members, {"z2"}, "z1");
    BOOST_REQUIRE(chosen.size() == 1U);
    BOOST_TEST(chosen.front().instance == "a");
}

BOOST_AUTO_TEST_CASE(store_readers_per_zone_are_as_many_as_wanted)
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

BOOST_AUTO_TEST_CASE(addresses_strong_instances_are_preferred_while_enough_live)
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
    BOOST_TEST(address_choice::preferred(members).size() == 6U);
    for (auto number = std::size_t{0}; number < 4; ++number) {
        members[number].state = member_state::suspect;
    }
    const auto few = address_choice::preferred(members);
    BOOST_TEST(few.size() == address_choice::fewest_addresses);
    BOOST_TEST(few.front().processor_permil == 500U);
    members[4].state = member_state::dead;
    members[5].state = member_state::dead;
    BOOST_TEST(address_choice::preferred(members).size() == 14U);
}

BOOST_AUTO_TEST_SUITE_END()
