#include <knapweedchute/membership/store_readers.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <iterator>

using namespace knapweedchute;

namespace {

struct readers_fixture
{
    std::vector<member> members;

    readers_fixture()
    {
        for (const auto* zone : {"a", "b", "c", "d"}) {
            for (auto index = 0; index < 3; ++index) {
                auto added = member{};
                added.instance = std::string{zone} + std::to_string(index);
                added.availability_zone = zone;
                members.push_back(added);
            }
        }
    }

    [[nodiscard]] auto readers() const -> std::ptrdiff_t
    {
        const auto per_zone = store_readers_per_zone(members);
        return std::count_if(members.begin(), members.end(), [&](const auto& known) {
            return known.serving() && is_store_reader(members, known, per_zone);
        });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(store_readers_suite, readers_fixture)

BOOST_AUTO_TEST_CASE(store_readers_of_a_large_fleet_do_not_grow_with_it)
{
    BOOST_TEST(readers() == 4);
    for (auto index = 0; index < 300; ++index) {
        auto added = members.front();
        added.instance = "z" + std::to_string(index);
        members.push_back(added);
    }
    BOOST_TEST(readers() == 4);
}

BOOST_AUTO_TEST_CASE(store_readers_found_at_once_are_those_found_one_by_one)
{
    members[0].state = member_state::joining;
    members[4].state = member_state::suspect;
    std::reverse(members.begin(), members.end());
    for (auto count = std::size_t{1}; count <= 4; ++count) {
        auto expected = std::vector<member>{};
        std::copy_if(members.begin(), members.end(), std::back_inserter(expected),
                     [&](const auto& known) {
                         return known.serving() && is_store_reader(members, known, count);
                     });
        auto found = store_readers(members, count);
        std::sort(expected.begin(), expected.end());
        std::sort(found.begin(), found.end());
        BOOST_TEST((found == expected));
    }
}

BOOST_AUTO_TEST_CASE(store_readers_of_a_small_fleet_are_all_instances)
{
    members.resize(max_direct_members);
    BOOST_TEST(readers() == 9);
}

BOOST_AUTO_TEST_CASE(store_readers_of_a_small_fleet_in_one_zone_are_all_instances)
{
    members.resize(max_direct_members);
    for (auto& known : members) {
        known.availability_zone = "a";
    }
    BOOST_TEST(readers() == 9);
}

BOOST_AUTO_TEST_CASE(store_readers_after_the_loss_of_a_reader_are_as_many_as_before)
{
    members.front().state = member_state::dead;
    BOOST_TEST(readers() == 4);
}

BOOST_AUTO_TEST_SUITE_END()
