// bench_requests: request decisions against a plain baseline, in virtual time.
#include "case_report.hpp"
#include "heavy_day.hpp"
#include "request_load.hpp"

#include <knapweedchute/core/log.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <ctime>
#include <functional>
#include <limits>

namespace {

using namespace knapweedchute;
using namespace knapweedchute::bench;

constexpr auto seeds = std::uint64_t{5};
constexpr auto warm_up = seconds{3};
constexpr auto measured_time = seconds{5};

/// Ten milliseconds of service and the shortest way there and back, on one connection.
constexpr auto seconds_per_part = 0.0102;

auto per_seed(const std::function<double(std::uint64_t)>& measure) -> std::vector<double>
{
    auto values = std::vector<double>{};
    for (auto seed = std::uint64_t{1}; seed <= seeds; ++seed) {
        values.push_back(measure(seed));
    }
    return values;
}

auto warm_target(std::int64_t limit, duration latency) -> test::fake_target
{
    auto target = test::fake_target{};
    target.limit = limit;
    target.cold_requests = limit;
    target.latency = latency;
    return target;
}

auto straggler_options(std::uint64_t seed, bool baseline) -> request_load_options
{
    auto options = request_load_options{};
    options.model = warm_target(110, milliseconds{2});
    options.model.straggler_share = 0.01;
    options.baseline = baseline;
    options.seed = seed;
    return options;
}

auto measure_stragglers(case_report& report) -> void
{
    auto extra = std::vector<double>{};
    const auto ratio = per_seed([&](std::uint64_t seed) {
        auto plain = request_load{straggler_options(seed, true)};
        auto ours = request_load{straggler_options(seed, false)};
        for (auto* load : {&plain, &ours}) {
            load->run(warm_up);
            load->clear();
            load->run(measured_time);
            load->drain();
        }
        extra.push_back(ours.extra_load());
        return ours.latency_ms(0.99) / plain.latency_ms(0.99);
    });
    report.add("stragglers: p99 over the baseline's", ratio, bound_kind::at_most, 1.0 / 3.0);
    report.add("stragglers: extra load", extra, bound_kind::at_most, 0.05);
}

auto measure_lost_replica(case_report& report) -> void
{
    auto coverage = std::vector<double>{};
    const auto ratio = per_seed([&](std::uint64_t seed) {
        auto options = request_load_options{};
        options.model = warm_target(110, milliseconds{2});
        options.seed = seed;
        auto load = request_load{options};
        load.run(warm_up);
        load.clear();
        load.run(measured_time);
        const auto before = load.latency_ms(0.99);
        load.driver().targets().begin()->second.down = true;
        load.run(seconds{2});
        load.drain();
        load.clear();
        load.run(measured_time);
        load.drain();
        coverage.push_back(load.coverage());
        return load.latency_ms(0.99) / before;
    });
    report.add("replica lost: p99 over that before", ratio, bound_kind::at_most, 1.5);
    report.add("replica lost: coverage", coverage, bound_kind::at_least, 1.0);
}

auto measure_lost_zone(case_report& report) -> void
{
    constexpr auto capacity_per_shard = 3 * 25 / seconds_per_part;
    auto over = std::vector<double>{};
    const auto worth = per_seed([&](std::uint64_t seed) {
        auto options = request_load_options{};
        options.shards = 6;
        options.replicas = 3;
        options.model = warm_target(25, milliseconds{10});
        options.rate = capacity_per_shard * 0.6;
        options.admission = true;
        options.seed = seed;
        auto load = request_load{options};
        load.run(warm_up);
        for (auto& [where, target] : load.driver().targets()) {
            target.down = target.spec.availability_zone == "b";
        }
        load.run(seconds{5});
        load.drain();
        load.clear();
        load.run(seconds{3});
        load.drain();
        over.push_back(load.over_bearing());
        return load.answered_worth() / load.offered_worth();
    });
    report.add("zone of three lost at 60% load: answered worth", worth, bound_kind::at_least, 0.95);
    report.add("zone of three lost: requests over bearing", over, bound_kind::at_most, 0.0);
}

auto cold_options(std::uint64_t seed) -> request_load_options
{
    auto options = request_load_options{};
    options.shards = 6;
    options.model = warm_target(110, milliseconds{10});
    options.model.cold_requests = 8;
    options.model.warmup = seconds{5};
    options.rate = 1'500.0;
    options.admission = true;
    options.seed = seed;
    return options;
}

auto measure_cold(case_report& report) -> void
{
    auto over = std::vector<double>{};
    const auto fall_back = per_seed([&](std::uint64_t seed) {
        auto load = request_load{cold_options(seed)};
        for (auto& [where, target] : load.driver().targets()) {
            target.cold_since = load.driver().now();
            target.report.incarnation += 1;
        }
        load.driver().report_all();
        auto worst_step = 1.0;
        auto best = 0.0;
        for (auto step = 0; step < 8; ++step) {
            load.clear();
            load.run(seconds{1});
            const auto worth = load.answered_worth() / load.offered_worth();
            over.push_back(load.over_bearing());
            worst_step = std::min(worst_step, best == 0.0 ? 1.0 : worth / best);
            best = std::max(best, worth);
        }
        return worst_step;
    });
    report.add("all cold at once: requests over bearing", over, bound_kind::at_most, 0.0);
    report.add("all cold at once: worth of a second over the best before", fall_back,
               bound_kind::at_least, 0.9);
}

auto measure_silent_cold(case_report& report) -> void
{
    const auto shed = per_seed([&](std::uint64_t seed) {
        auto load = request_load{cold_options(seed)};
        load.run(warm_up);
        load.clear();
        auto& target = load.driver().targets().begin()->second;
        target.cold_since = load.driver().now();
        load.run(seconds{5});
        return load.over_bearing() / (5.0 * 1'500.0);
    });
    report.note("one cold in the same process: over bearing per search", shed);
}

auto measure_overload(case_report& report, std::int64_t connections) -> void
{
    const auto capacity = 2.0 * static_cast<double>(connections) / seconds_per_part;
    const auto name = "twice the capacity, " + std::to_string(connections) + " connections: ";
    auto in_time = std::vector<double>{};
    const auto worth = per_seed([&](std::uint64_t seed) {
        auto options = request_load_options{};
        options.shards = 4;
        options.model = warm_target(connections, milliseconds{10});
        options.rate = capacity * 2;
        options.admission = true;
        options.seed = seed;
        auto load = request_load{options};
        load.run(seconds{4});
        load.drain();
        load.clear();
        load.run(seconds{3});
        load.drain();
        in_time.push_back(load.accepted_in_time_share());
        // Worth is drawn evenly from 1 to 10: the better half holds 40 of 55 parts.
        const auto best_possible = load.offered_worth() * 40.0 / 55.0;
        return load.answered_worth() / best_possible;
    });
    report.add(name + "worth of the best", worth, bound_kind::at_least, 0.9);
    report.add(name + "accepted in time", in_time, bound_kind::at_least, 0.99);
}

auto measure_general_slowness(case_report& report) -> void
{
    const auto extra = per_seed([&](std::uint64_t seed) {
        auto options = request_load_options{};
        options.model = warm_target(110, milliseconds{2});
        options.seed = seed;
        auto load = request_load{options};
        load.run(warm_up);
        load.clear();
        for (auto& [where, target] : load.driver().targets()) {
            target.latency = milliseconds{20};
        }
        load.run(measured_time);
        load.drain();
        return load.extra_load();
    });
    report.add("all slow together: extra load", extra, bound_kind::at_most, 0.01);
}

constexpr auto heavy_time = seconds{40};
/// Aim of the users' grown installations, where the parts of a query are as many as here or more.
constexpr auto aimed_worth = 0.56;

auto worth_of(heavy_policy policy, const relay_policy& steering, std::uint64_t seed) -> double
{
    auto day = heavy_day{policy, steering, seed};
    day.run(heavy_time);
    return day.worth();
}

auto measure_heavy_day(case_report& report) -> void
{
    auto plain = std::vector<double>{};
    auto ours = std::vector<double>{};
    auto load = std::vector<double>{};
    const auto ratio = per_seed([&](std::uint64_t seed) {
        auto day = heavy_day{heavy_policy::ours, {}, seed};
        day.run(heavy_time);
        ours.push_back(day.worth());
        load.push_back(day.load());
        plain.push_back(worth_of(heavy_policy::plain, {}, seed));
        return ours.back() / plain.back();
    });
    report.add("heavy day: worth", ours, bound_kind::at_least, aimed_worth);
    report.note("heavy day: worth of the plain baseline", plain);
    report.add("heavy day: worth over the baseline's", ratio, bound_kind::at_least, 1.0);
    report.add("heavy day: requests per part", load, bound_kind::at_most, 1.2);
    report.note("heavy day: worth over that without hedges", per_seed([](std::uint64_t seed) {
                    auto steering = relay_policy{};
                    steering.max_straggler_checks = 0;
                    return worth_of(heavy_policy::ours, {}, seed) /
                           worth_of(heavy_policy::ours, steering, seed);
                }));
    report.note("heavy day: worth over that with losers let finish",
                per_seed([](std::uint64_t seed) {
                    auto steering = relay_policy{};
                    steering.cancel_delay = milliseconds{300};
                    return worth_of(heavy_policy::ours, {}, seed) /
                           worth_of(heavy_policy::ours, steering, seed);
                }));
}

auto processor_time_of(log_level lowest, std::uint64_t seed) -> double
{
    const auto null = open("/dev/null", O_WRONLY | O_CLOEXEC);
    start_logging(lowest, null);
    const auto before = std::clock();
    worth_of(heavy_policy::ours, {}, seed);
    const auto spent = static_cast<double>(std::clock() - before);
    start_logging(log_level::error);
    close(null);
    return spent;
}

/// Decisions alone: with the network beside them the lines are a smaller part.
auto measure_log_cost(case_report& report) -> void
{
    constexpr auto turns = 6;
    auto with = 0.0;
    auto without = 0.0;
    for (auto seed = std::uint64_t{1}; seed <= seeds; ++seed) {
        // The same work each time: its least time is the one that nothing else has disturbed.
        auto least_with = std::numeric_limits<double>::max();
        auto least_without = least_with;
        for (auto turn = 0; turn < turns; ++turn) {
            least_with = std::min(least_with, processor_time_of(log_level::info, seed));
            least_without = std::min(least_without, processor_time_of(log_level::error, seed));
        }
        with += least_with;
        without += least_without;
    }
    report.add("lines of requests: processor time over that without", {with / without},
               bound_kind::at_most, 1.05);
}

} // namespace

auto main() -> int
{
    auto report = case_report{};
    measure_stragglers(report);
    measure_lost_replica(report);
    measure_lost_zone(report);
    measure_cold(report);
    measure_silent_cold(report);
    measure_overload(report, 110);
    measure_overload(report, 25);
    measure_general_slowness(report);
    measure_heavy_day(report);
    measure_log_cost(report);
    return 0;
}
