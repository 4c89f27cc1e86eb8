#include <knapweedchute/move/move_keeper.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <vector>

using namespace knapweedchute;

namespace {

constexpr auto step = milliseconds{100};
constexpr auto service_name = "s";
/// Kept share of a bad version, and what it may get beyond it: from the users' pages.
constexpr auto most_share = 0.1;
constexpr auto slack = 50.0;

/// One instance: its keeper with what it is built from.
struct instance
{
    target_registry registry;
    version_watch watch;
    move_keeper keeper;
    bool told = false; ///< Whether it has heard the order.

    explicit instance(std::uint64_t source) : keeper{registry, watch, source} {}

    [[nodiscard]] auto new_share() const -> double
    {
        const auto* rule = registry.rule_of(service_name);
        if (rule == nullptr || rule->use == version_use::held) {
            return 0.0;
        }
        return rule->use == version_use::preferred ? 1.0
                                                   : static_cast<double>(rule->share_permil) / 1e3;
    }
};

/// Some instances, the store's one record, and news between them that may be lost.
struct fleet_fixture
{
    std::mt19937_64 random{7};
    std::vector<std::unique_ptr<instance>> instances;
    std::optional<move_record> stored;
    bool store_up = true;
    bool news_pass = true;
    time_point now{seconds{100}};
    std::int64_t unix_ms = 1'000'000;
    move_order order{service_name, "v2", milliseconds{20'000}, 5};
    std::function<double()> new_failures = [] { return 0.0; };
    double old_failures = 0.01;
    int requests_per_step = 10;
    double sent = 0.0;
    double sent_to_new = 0.0;
    std::vector<move_result> ends;

    fleet_fixture()
    {
        for (auto source = std::uint64_t{1}; source <= 5; ++source) {
            instances.push_back(std::make_unique<instance>(source));
        }
    }

    auto chance(double of) -> bool
    {
        return std::uniform_real_distribution<double>{0.0, 1.0}(random) < of;
    }

    auto tell_order(std::size_t count) -> void
    {
        for (auto index = std::size_t{0}; index < count; ++index) {
            instances[index]->keeper.order(order);
            instances[index]->told = true;
        }
    }

    auto serve(instance& one) -> void
    {
        for (auto request = 0; request < requests_per_step; ++request) {
            const auto is_new = one.told && chance(one.new_share());
            const auto failed = chance(is_new ? new_failures() : old_failures);
            sent += 1;
            sent_to_new += is_new ? 1 : 0;
            one.watch.add(service_name, is_new ? "v2" : "v1", {failed, false, false}, now);
        }
    }

    auto store(const move_record& record) -> void
    {
        const auto ended =
            stored && stored->order == record.order && stored->result != move_result::running;
        if (!store_up || ended) {
            return;
        }
        stored = record;
        if (record.result != move_result::running) {
            ends.push_back(record.result);
        }
    }

    auto spread() -> void
    {
        for (auto& one : instances) {
            const auto rows = one->keeper.next_rows(8);
            auto& peer = instances[random() % instances.size()];
            if (news_pass && !chance(0.3)) {
                peer->keeper.merge(rows);
            }
            if (stored && store_up) {
                one->keeper.on_record(service_name, *stored, now);
            }
        }
    }

    auto run(duration length) -> void
    {
        for (const auto end = now + length; now < end; now += step, unix_ms += step.count()) {
            for (auto& one : instances) {
                serve(*one);
                one->keeper.advance(now, unix_ms);
            }
            // The first in rank offers; another's offer of the same step would find it changed.
            for (auto& one : instances) {
                const auto wanted = one->keeper.wanted();
                if (!wanted.empty()) {
                    store(wanted.front().record);
                    break;
                }
            }
            spread();
        }
    }

    [[nodiscard]] auto all_shares_are(double share) const -> bool
    {
        return std::all_of(instances.begin(), instances.end(), [&](const auto& one) {
            return std::abs(one->new_share() - share) < 1e-9;
        });
    }

    [[nodiscard]] auto exposure_is_kept() const -> bool
    {
        return sent_to_new <= sent * most_share + slack;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(move_keeper_suite, fleet_fixture)

BOOST_AUTO_TEST_CASE(good_version_is_handed_everything_and_reported_once)
{
    tell_order(5);
    run(seconds{20});
    BOOST_TEST(all_shares_are(1.0));
    BOOST_TEST(ends.size() == 1U);
    BOOST_TEST((ends.front() == move_result::finished));
}

BOOST_AUTO_TEST_CASE(good_version_old_targets_stop_only_after_the_hand_over)
{
    tell_order(5);
    while (!stored || !stored->handed_over) {
        run(step);
    }
    run(milliseconds{2'500});
    BOOST_TEST(all_shares_are(1.0));
    BOOST_TEST(ends.empty());
    run(milliseconds{1'000});
    BOOST_TEST(ends.size() == 1U);
}

BOOST_AUTO_TEST_CASE(bad_version_is_taken_back_within_its_exposure)
{
    new_failures = [] { return 0.4; };
    tell_order(5);
    run(seconds{20});
    BOOST_TEST(all_shares_are(0.0));
    BOOST_TEST(exposure_is_kept());
    BOOST_TEST(ends.size() == 1U);
    BOOST_TEST((ends.front() == move_result::taken_back));
}

BOOST_AUTO_TEST_CASE(version_that_turns_bad_later_is_taken_back)
{
    new_failures = [this] { return now > time_point{seconds{108}} ? 0.5 : 0.0; };
    tell_order(5);
    run(seconds{20});
    BOOST_TEST(all_shares_are(0.0));
    BOOST_TEST(exposure_is_kept());
    BOOST_TEST((ends.front() == move_result::taken_back));
}

BOOST_AUTO_TEST_CASE(failures_of_both_versions_are_no_fault_of_the_new_one)
{
    old_failures = 0.4;
    new_failures = [] { return 0.4; };
    tell_order(5);
    run(seconds{20});
    BOOST_TEST((ends.front() == move_result::finished));
}

BOOST_AUTO_TEST_CASE(bad_version_without_a_store_gets_nothing_more_all_the_same)
{
    new_failures = [] { return 0.4; };
    tell_order(5);
    store_up = false;
    run(seconds{10});
    BOOST_TEST(all_shares_are(0.0));
    BOOST_TEST(ends.empty());
    store_up = true;
    run(seconds{2});
    BOOST_TEST((ends.front() == move_result::taken_back));
}

BOOST_AUTO_TEST_CASE(bad_version_stays_stopped_when_the_old_one_fails_too)
{
    new_failures = [] { return 0.4; };
    tell_order(5);
    store_up = false;
    run(seconds{5});
    BOOST_REQUIRE(all_shares_are(0.0));
    old_failures = 0.9;
    run(seconds{20});
    BOOST_TEST(all_shares_are(0.0));
}

BOOST_AUTO_TEST_CASE(bad_version_without_news_is_stopped_by_each_instance_alone)
{
    new_failures = [] { return 0.5; };
    news_pass = false;
    store_up = false;
    tell_order(5);
    run(seconds{20});
    BOOST_TEST(all_shares_are(0.0));
    BOOST_TEST(exposure_is_kept());
}

BOOST_AUTO_TEST_CASE(version_that_nobody_asks_is_taken_back_for_too_little_evidence)
{
    requests_per_step = 0;
    tell_order(5);
    run(seconds{17});
    BOOST_TEST(ends.empty());
    run(seconds{3});
    BOOST_TEST((ends.front() == move_result::taken_back));
}

BOOST_AUTO_TEST_CASE(instance_that_starts_after_the_end_obeys_the_record)
{
    new_failures = [] { return 0.4; };
    tell_order(4);
    run(seconds{10});
    BOOST_REQUIRE(ends.size() == 1U);
    tell_order(5);
    instances[4]->keeper.on_record(service_name, *stored, now);
    run(seconds{5});
    BOOST_TEST(all_shares_are(0.0));
    BOOST_TEST(ends.size() == 1U);
}

BOOST_AUTO_TEST_CASE(later_order_for_the_same_version_starts_anew)
{
    new_failures = [] { return 0.4; };
    tell_order(5);
    run(seconds{10});
    BOOST_REQUIRE(all_shares_are(0.0));
    new_failures = [] { return 0.0; };
    order.number = 9;
    tell_order(5);
    // The record of the order before is still stored, and heard again.
    for (auto& one : instances) {
        one->keeper.on_record(service_name, *stored, now);
    }
    run(seconds{20});
    BOOST_TEST(all_shares_are(1.0));
    BOOST_TEST(ends.size() == 2U);
    BOOST_TEST((ends.back() == move_result::finished));
}

BOOST_AUTO_TEST_CASE(order_withdrawn_lifts_the_rule)
{
    tell_order(5);
    run(seconds{1});
    for (auto& one : instances) {
        one->keeper.keep_only({});
        BOOST_TEST(one->registry.rule_of(service_name) == nullptr);
        BOOST_TEST(one->keeper.idle());
    }
}

BOOST_AUTO_TEST_SUITE_END()
