#include "support/fake_exchange_port.hpp"
#include "support/manual_timer_queue.hpp"

#include <knapweedchute/relay/target_selector.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>

using namespace knapweedchute;
using namespace knapweedchute::test;

namespace {

constexpr auto goal = milliseconds{100};
constexpr auto base_load = 0.1;

auto policy_with(double price) -> zone_spill_policy
{
    auto policy = zone_spill_policy{};
    policy.byte_price = price;
    return policy;
}

auto evidence(const std::string& zone, double load, std::size_t bytes = 1'024) -> zone_evidence
{
    return {zone, std::chrono::duration_cast<duration>(goal * load), goal, bytes, false};
}

struct spill_fixture
{
    /// Plays exchanges of a load in the own zone `a` and, if it is sent to, in zone `b`.
    auto play(seconds length, double own, double other) -> void
    {
        const auto end = now + length;
        for (; now < end; now += milliseconds{100}) {
            for (auto index = 0; index < 4; ++index) {
                const auto leaves = spill.choose("g", now).choice == zone_choice::leave;
                spill.observe("g", leaves ? evidence("b", other) : evidence("a", own), now);
            }
        }
    }

    zone_spill spill{policy_with(0.01), "a", 1};
    time_point now{seconds{100}};
};

/// Three availability zones of equal capacity, whose latencies grow with their use.
struct zone_fleet
{
    explicit zone_fleet(double price)
    {
        for (auto index = std::size_t{0}; index < 84; ++index) {
            instances.emplace_back(policy_with(price), names.at(index % names.size()), index);
        }
    }

    auto play(seconds length) -> void
    {
        const auto end = now + length;
        lowest = 1e9;
        highest = {};
        for (; now < end; now += milliseconds{100}) {
            play_tick();
        }
    }

    auto play_tick() -> void
    {
        constexpr auto sends = 4;
        auto sent = std::array<double, 3>{};
        for (auto index = std::size_t{0}; index < instances.size(); ++index) {
            const auto own = index % names.size();
            for (auto send = 0; send < sends; ++send) {
                const auto zone = zone_of(instances[index].choose("g", now), own, send);
                sent.at(zone) += demand.at(own) / (28.0 * sends);
                const auto load = base_load / (1.0 - std::min(used.at(zone), 0.95));
                instances[index].observe("g", evidence(names.at(zone), load, 4'096), now);
            }
        }
        for (auto zone = std::size_t{0}; zone < used.size(); ++zone) {
            used.at(zone) += (sent.at(zone) - used.at(zone)) * 0.1;
            highest.at(zone) = std::max(highest.at(zone), used.at(zone));
        }
        lowest = std::min(lowest, used.front());
    }

    static auto zone_of(const zone_preference& preference, std::size_t own, int send) -> std::size_t
    {
        if (preference.choice != zone_choice::leave) {
            return own;
        }
        const auto other = (own + 1 + static_cast<std::size_t>(send) % 2) % names.size();
        const auto closed = std::find(preference.closed.begin(), preference.closed.end(),
                                      names.at(other)) != preference.closed.end();
        return closed ? own : other;
    }

    static inline const auto names = std::array<std::string, 3>{"a", "b", "c"};
    std::vector<zone_spill> instances;
    std::array<double, 3> demand{1.2, 0.4, 0.4}; ///< Multiples of a zone's capacity.
    std::array<double, 3> used{};
    std::array<double, 3> highest{};
    double lowest = 0.0; ///< Least use of zone `a`.
    time_point now{seconds{100}};
};

struct selector_fixture
{
    selector_fixture()
    {
        registry.insert_or_update({"own", "s", {}, "a", "v1", 2, 1, false, {}});
        registry.insert_or_update({"other", "s", {}, "b", "v1", 2, 1, false, {}});
    }

    auto selected(target_selector& from, const zone_preference& preference = {}) -> std::string
    {
        return from.select_target("s", {}, timers.now(), preference).target->id;
    }

    [[nodiscard]] auto make() const -> target_selector
    {
        return {relay_policy{}, "a", registry, port, cold, 7};
    }

    manual_timer_queue timers;
    target_registry registry;
    fake_exchange_port port{timers};
    cold_limiter cold{[](const auto& /*target*/) { return std::optional<double>{}; }};
};

} // namespace

BOOST_AUTO_TEST_SUITE(zone_spill_suite)

BOOST_FIXTURE_TEST_CASE(own_zone_loaded_share_rises_and_is_taken_back, spill_fixture)
{
    play(seconds{20}, 0.2, 0.2);
    BOOST_TEST(spill.share("g") == 0.0);
    BOOST_TEST(!spill.take_change());
    play(seconds{10}, 0.9, 0.2);
    BOOST_TEST(spill.share("g") > 0.3);
    BOOST_TEST(spill.share("g") < 0.8);
    BOOST_TEST(spill.take_change().value().leaving);
    play(seconds{60}, 0.9, 0.2);
    BOOST_TEST(spill.share("g") == 0.8);
    play(seconds{30}, 0.2, 0.2);
    BOOST_TEST(spill.share("g") == 0.0);
    BOOST_TEST(!spill.take_change().value().leaving);
}

BOOST_FIXTURE_TEST_CASE(load_between_the_bounds_changes_nothing, spill_fixture)
{
    play(seconds{20}, 0.4, 0.2);
    BOOST_TEST(spill.share("g") == 0.0);
    play(seconds{8}, 0.9, 0.2);
    play(seconds{5}, 0.4, 0.2);
    const auto share = spill.share("g");
    BOOST_TEST(share > 0.0);
    play(seconds{30}, 0.4, 0.2);
    BOOST_TEST(spill.share("g") == share);
}

BOOST_FIXTURE_TEST_CASE(loaded_helper_gets_less, spill_fixture)
{
    play(seconds{10}, 0.9, 0.2);
    BOOST_TEST(spill.share("g") > 0.3);
    play(seconds{3}, 0.9, 0.45);
    auto closed = false;
    for (auto index = 0; index < 100; ++index) {
        closed = closed || spill.choose("g", now).closed == std::vector<std::string>{"b"};
    }
    BOOST_TEST(closed);
    play(seconds{12}, 0.9, 0.45);
    BOOST_TEST(spill.share("g") < 0.2);
}

BOOST_FIXTURE_TEST_CASE(rejections_count_as_load, spill_fixture)
{
    for (auto index = 0; index < 100; ++index, now += milliseconds{100}) {
        auto rejected = evidence("a", 0.05, 0);
        rejected.rejected = index % 4 != 0;
        spill.observe("g", rejected, now);
        static_cast<void>(spill.choose("g", now));
    }
    BOOST_TEST(spill.share("g") > 0.2);
}

BOOST_FIXTURE_TEST_CASE(groups_are_bounded_and_forgotten, spill_fixture)
{
    for (auto index = 0; index < 1'000; ++index) {
        static_cast<void>(spill.choose(std::to_string(index), now));
    }
    BOOST_TEST(spill.groups() == 64U);
    spill.remove_unused(now + seconds{1});
    BOOST_TEST(spill.groups() == 0U);
}

BOOST_AUTO_TEST_CASE(fleet_of_84_settles_and_takes_back)
{
    auto fleet = zone_fleet{0.01};
    fleet.play(seconds{30});
    fleet.play(seconds{60});
    BOOST_TEST(fleet.highest[0] < 0.9);
    BOOST_TEST(fleet.highest[0] - fleet.lowest < 0.1);
    BOOST_TEST(fleet.highest[1] < 0.75);
    BOOST_TEST(fleet.highest[2] < 0.75);
    fleet.demand[0] = 0.5;
    fleet.play(seconds{60});
    for (const auto& instance : fleet.instances) {
        BOOST_TEST(instance.share("g") == 0.0);
    }
}

BOOST_AUTO_TEST_CASE(fleet_of_84_does_not_harm_zones_that_need_their_room)
{
    auto fleet = zone_fleet{0.01};
    fleet.demand = {1.2, 0.72, 0.72};
    fleet.play(seconds{90});
    BOOST_TEST(fleet.highest[1] < 0.8);
    BOOST_TEST(fleet.highest[2] < 0.8);
}

BOOST_AUTO_TEST_CASE(fewer_bytes_leave_at_a_high_price)
{
    const auto leaving = [](double price) {
        auto fleet = zone_fleet{price};
        fleet.demand = {0.95, 0.2, 0.2};
        fleet.play(seconds{60});
        auto sum = 0.0;
        for (const auto& instance : fleet.instances) {
            sum += instance.share("g");
        }
        return sum;
    };
    const auto cheap = leaving(0.01);
    BOOST_TEST(cheap > 0.0);
    BOOST_TEST(leaving(25.0) < cheap / 2.0);
}

BOOST_FIXTURE_TEST_CASE(without_price_selections_are_as_before, selector_fixture)
{
    auto before = make();
    auto with_spill = make();
    auto spill = zone_spill{policy_with(0.0), "a", 1};
    for (auto index = 0; index < 400; ++index, timers.advance(milliseconds{100})) {
        spill.observe("g", evidence("a", 1.0), timers.now());
        before.load("own").on_send(timers.now(), goal);
        with_spill.load("own").on_send(timers.now(), goal);
        BOOST_TEST(selected(before) == selected(with_spill, spill.choose("g", timers.now())));
        if (index % 3 == 0) {
            before.load("own").on_end(timers.now(), timers.now() + goal, goal, false);
            with_spill.load("own").on_end(timers.now(), timers.now() + goal, goal, false);
        }
    }
    BOOST_TEST(spill.groups() == 0U);
}

BOOST_FIXTURE_TEST_CASE(own_target_dark_send_leaves_at_once, selector_fixture)
{
    auto selector = make();
    const auto stay = zone_preference{zone_choice::stay, {}};
    BOOST_TEST(selected(selector, stay) == "own");
    selector.load("own").on_send(timers.now(), milliseconds{10});
    timers.advance(milliseconds{20});
    BOOST_TEST(selected(selector, stay) == "own");
    timers.advance(milliseconds{30});
    BOOST_TEST(selected(selector, stay) == "other");
}

BOOST_FIXTURE_TEST_CASE(no_own_target_usable_send_leaves_at_once, selector_fixture)
{
    auto selector = make();
    port.full.insert("own");
    BOOST_TEST(selected(selector, {zone_choice::stay, {}}) == "other");
}

BOOST_FIXTURE_TEST_CASE(leaving_send_spares_closed_and_busy_zones, selector_fixture)
{
    auto selector = make();
    BOOST_TEST(selected(selector, {zone_choice::leave, {}}) == "other");
    BOOST_TEST(selected(selector, {zone_choice::leave, {"b"}}) == "own");
    selector.load("other").on_send(timers.now(), goal);
    BOOST_TEST(selected(selector, {zone_choice::leave, {}}) == "own");
}

BOOST_AUTO_TEST_SUITE_END()
