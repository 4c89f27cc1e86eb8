#include <knapweedchute/usage/duty_holder.hpp>
#include <knapweedchute/usage/usage_reporter.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace knapweedchute;

namespace {

/// The keys and leases of the store.
struct fake_store
{
    std::uint64_t revision = 100;
    std::uint64_t leases = 0;
    std::map<std::uint64_t, duration> lease_ends;
    std::optional<duty_record> holder;
    std::map<usage_window, std::string> contents;
    std::optional<usage_window> done;
    std::uint64_t done_revision = 0;

    auto expire(duration now) -> void
    {
        if (holder && lease_ends[holder->lease] <= now) {
            holder.reset();
        }
    }
};

struct accepted_report
{
    std::string holder;
    std::uint64_t number;
    usage_window window;
    std::string content;
    duration at;
};

/// An instance whose calls take effect at once unless a fault is set.
struct fake_instance
{
    fake_instance(std::string instance, fake_store& used)
        : name{std::move(instance)}, store{&used}, ledger{{name, 1}, 1'000}, holder{name, 1, {}}
    {
    }

    auto tick(duration now, std::size_t rank, std::vector<accepted_report>& platform) -> void
    {
        store->expire(now);
        if (hears_store) {
            hear(now);
        }
        const auto step = holder.next(now, rank);
        if (step == duty_step::open_lease) {
            holder.on_lease(now, hears_store ? std::optional{++store->leases} : std::nullopt);
            store->lease_ends[store->leases] = now + duty_limits{}.lease;
        } else if (step == duty_step::claim) {
            claim(now);
        } else if (step == duty_step::renew) {
            renew(now);
        }
        if (holder.may_act(now, now + seconds{1})) {
            report(now, platform);
        }
    }

    auto hear(duration now) -> void
    {
        store->holder ? holder.on_holder(now, *store->holder) : holder.on_vacancy();
        if (store->done) {
            reporter.on_done(*store->done, store->done_revision);
            ledger.close_through(*store->done);
        }
        for (const auto& [window, content] : store->contents) {
            reporter.on_content(window, content);
        }
    }

    auto claim(duration now) -> void
    {
        const auto free = hears_store && !store->holder;
        if (free) {
            store->holder = duty_record{name, 1, holder.lease(), ++store->revision};
        }
        const auto told = hears_store && !loses_answers;
        holder.on_claim(now,
                        !told  ? store_outcome::unknown
                        : free ? store_outcome::done
                               : store_outcome::refused,
                        store->revision);
    }

    auto renew(duration now) -> void
    {
        const auto alive = store->holder && store->holder->lease == holder.lease();
        if (hears_store && alive) {
            store->lease_ends[holder.lease()] = now + duty_limits{}.lease;
        }
        holder.on_renewal(now, !hears_store ? store_outcome::unknown
                               : alive      ? store_outcome::done
                                            : store_outcome::refused);
    }

    auto report(duration now, std::vector<accepted_report>& platform) -> void
    {
        const auto step = reporter.next(now, clock, ledger);
        auto outcome = store_outcome::unknown;
        const auto held = store->holder && store->holder->revision == holder.number();
        if (step.what == report_step::kind::store && hears_store) {
            const auto free = held && !store->contents.contains(step.window);
            if (free) {
                store->contents[step.window] = step.content;
                ++store->revision;
            } else if (store->contents.contains(step.window)) {
                reporter.on_content(step.window, store->contents[step.window]);
            }
            outcome = loses_answers ? store_outcome::unknown
                      : free        ? store_outcome::done
                                    : store_outcome::refused;
        } else if (step.what == report_step::kind::send) {
            platform.push_back({name, holder.number(), step.window, step.content, now});
            outcome = platform_answers ? store_outcome::done : store_outcome::unknown;
        } else if (step.what == report_step::kind::close && hears_store && held) {
            store->done = step.window;
            store->done_revision = ++store->revision;
            std::erase_if(store->contents, [&](const auto& item) {
                return std::find(step.remove.begin(), step.remove.end(), item.first) !=
                       step.remove.end();
            });
            outcome = store_outcome::done;
        }
        if (step.what != report_step::kind::none) {
            reporter.on_end(now, outcome, store->revision);
        }
    }

    std::string name;
    fake_store* store;
    usage_ledger ledger;
    duty_holder holder;
    usage_reporter reporter{{}, [](auto window, const auto& counts) {
                                auto text = std::to_string(window);
                                for (const auto& [workspace, count] : counts) {
                                    text += " " + workspace + "=" + std::to_string(count);
                                }
                                return text;
                            }};
    window_clock clock{seconds{5}, milliseconds{0}, milliseconds{0}};
    bool hears_store = true;
    bool loses_answers = false;
    bool platform_answers = true;
};

struct duty_fixture
{
    fake_store store;
    fake_instance a{"a", store};
    fake_instance b{"b", store};
    std::vector<accepted_report> sent;
    duration now{0};
    std::set<std::string> frozen;

    auto run(duration time) -> void
    {
        for (const auto end = now + time; now < end; now += milliseconds{100}) {
            auto rank = std::size_t{0};
            for (auto* instance : {&a, &b}) {
                if (!frozen.contains(instance->name)) {
                    instance->tick(now, rank, sent);
                }
                ++rank;
            }
        }
    }

    /// Counts a run at both instances' joined ledgers.
    auto count(usage_window window) -> void
    {
        a.ledger.add(window, "x");
        b.ledger.add(window, "x");
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(usage_duty_suite, duty_fixture)

BOOST_AUTO_TEST_CASE(window_is_reported_once_after_it_has_settled)
{
    count(0);
    run(seconds{20});
    BOOST_REQUIRE(sent.size() == 1U);
    BOOST_TEST(sent[0].content == "0 x=1");
    BOOST_TEST((sent[0].at >= seconds{8}));
    BOOST_TEST(*store.done == 0);
    BOOST_TEST(store.contents.empty());
}

BOOST_AUTO_TEST_CASE(holder_killed_successor_sends_the_stored_bytes_with_a_higher_number)
{
    count(0);
    a.platform_answers = false;
    run(milliseconds{8'200});
    BOOST_REQUIRE(!sent.empty());
    frozen.insert("a");
    b.ledger.add(0, "x");
    run(seconds{12});
    BOOST_TEST(sent.back().holder == "b");
    BOOST_TEST(sent.back().content == sent.front().content);
    BOOST_TEST(sent.back().number > sent.front().number);
    BOOST_TEST(*store.done == 0);
}

BOOST_AUTO_TEST_CASE(holder_frozen_and_woken_sends_nothing_on_its_old_lease)
{
    run(seconds{6});
    frozen.insert("a");
    run(seconds{3} - milliseconds{100});
    count(0);
    frozen.clear();
    a.hears_store = false;
    run(seconds{1});
    BOOST_TEST(sent.empty());
}

BOOST_AUTO_TEST_CASE(holder_cut_from_the_store_ends_well_before_its_successor_begins)
{
    count(0);
    a.platform_answers = false;
    run(seconds{9});
    BOOST_REQUIRE(!sent.empty());
    a.hears_store = false;
    run(seconds{12});
    const auto first_of_b = std::find_if(sent.begin(), sent.end(),
                                         [](const auto& report) { return report.holder == "b"; });
    BOOST_REQUIRE(first_of_b != sent.end());
    BOOST_TEST((first_of_b->at - std::prev(first_of_b)->at >= duty_limits{}.quiet));
    BOOST_TEST(std::all_of(first_of_b, sent.end(),
                           [](const auto& report) { return report.holder == "b"; }));
}

BOOST_AUTO_TEST_CASE(new_holder_keeps_quiet_so_that_no_holder_comes_back_at_once)
{
    for (auto window = 0; window < 20; ++window) {
        count(window);
    }
    run(seconds{10});
    frozen.insert("a");
    run(seconds{9});
    frozen = {"b"};
    run(seconds{12});
    BOOST_REQUIRE(sent.back().holder == "a");
    auto changes = 0;
    for (auto index = std::size_t{1}; index < sent.size(); ++index) {
        if (sent[index].holder != sent[index - 1].holder) {
            ++changes;
            BOOST_TEST((sent[index].at - sent[index - 1].at >= duty_limits{}.quiet));
            BOOST_TEST(sent[index].number > sent[index - 1].number);
        }
    }
    BOOST_TEST(changes == 2);
}

BOOST_AUTO_TEST_CASE(store_down_nothing_is_sent_and_windows_are_made_up_oldest_first)
{
    run(seconds{6});
    a.hears_store = false;
    b.hears_store = false;
    for (auto window = 0; window < 6; ++window) {
        count(window);
    }
    run(seconds{34});
    BOOST_TEST(sent.empty());
    a.hears_store = true;
    b.hears_store = true;
    run(seconds{15});
    auto windows = std::vector<usage_window>{};
    for (const auto& report : sent) {
        windows.push_back(report.window);
    }
    BOOST_TEST(windows == (std::vector<usage_window>{0, 1, 2, 3, 4, 5}),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(answers_lost_after_effect_claim_and_content_are_taken_as_the_store_has_them)
{
    a.loses_answers = true;
    count(0);
    run(milliseconds{8'100});
    BOOST_TEST(a.holder.holds());
    BOOST_REQUIRE(store.contents.contains(0));
    const auto stored = store.contents[0];
    a.ledger.add(0, "x");
    run(seconds{3});
    BOOST_REQUIRE(!sent.empty());
    BOOST_TEST(sent.back().content == stored);
}

BOOST_AUTO_TEST_CASE(platform_that_refuses_is_tried_again_with_a_pause)
{
    a.platform_answers = false;
    count(0);
    run(seconds{13});
    BOOST_TEST(sent.size() >= 4U);
    BOOST_TEST(sent.size() <= 11U);
    a.platform_answers = true;
    run(seconds{2});
    BOOST_TEST(*store.done == 0);
}

BOOST_AUTO_TEST_CASE(mark_of_an_older_revision_does_not_open_a_window_again)
{
    a.reporter.on_done(5, 200);
    a.reporter.on_done(4, 199);
    a.reporter.on_content(5, "late");
    BOOST_TEST(*a.reporter.done() == 5);
    BOOST_TEST(a.reporter.stored_count() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
