// bench_capacity: slopes of control and state over the number of instances, targets and members.
#include "case_report.hpp"
#include "control_fleet.hpp"

#include <knapweedchute/membership/membership.hpp>
#include <knapweedchute/membership/ownership.hpp>
#include <knapweedchute/wire/envelope.hpp>

#include <malloc.h>

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <thread>

namespace {

using namespace knapweedchute;
using namespace knapweedchute::bench;

constexpr auto zones = std::size_t{3};
constexpr auto observed = seconds{10};
constexpr auto aim_members = 2'800.0;
constexpr auto aim_targets = 21'000.0;

/// A straight line through measured points.
struct line_fit
{
    double base = 0.0;
    double slope = 0.0;
    double residual = 0.0; ///< Root mean square of the distances, over the mean value.
};

struct point
{
    double x = 0.0;
    double y = 0.0;
};

auto fit(const std::vector<point>& points) -> line_fit
{
    auto sum_x = 0.0;
    auto sum_y = 0.0;
    auto sum_xx = 0.0;
    auto sum_xy = 0.0;
    const auto count = static_cast<double>(points.size());
    for (const auto& item : points) {
        sum_x += item.x;
        sum_y += item.y;
        sum_xx += item.x * item.x;
        sum_xy += item.x * item.y;
    }
    auto line = line_fit{};
    line.slope = (count * sum_xy - sum_x * sum_y) / (count * sum_xx - sum_x * sum_x);
    line.base = (sum_y - line.slope * sum_x) / count;
    auto squares = 0.0;
    for (const auto& item : points) {
        squares += std::pow(item.y - line.base - line.slope * item.x, 2.0);
    }
    line.residual = std::sqrt(squares / count) / (sum_y / count);
    return line;
}

auto print_fit(const char* name, const std::vector<point>& points, double aim) -> double
{
    const auto line = fit(points);
    // A line that falls or is flat within its noise is not extended below what was measured.
    auto value = line.base + line.slope * aim;
    for (const auto& item : points) {
        value = item.x <= aim ? std::max(value, item.y) : value;
    }
    std::printf("%-52s base %.4g  slope %.4g  residual %.2g  at %.0f: %.4g\n", name, line.base,
                line.slope, line.residual, aim, value);
    std::fflush(stdout);
    return value;
}

struct fleet_figures
{
    double sent_bytes = 0.0;
    double datagrams = 0.0;
    double core_share = 0.0;
};

/// Waits until the news of the start have been told: datagrams carry hardly any.
auto wait_until_quiet(const control_fleet& fleet) -> void
{
    constexpr auto window = seconds{4};
    constexpr auto most_windows = 40;
    constexpr auto quiet_bytes_per_datagram = 120.0;
    for (auto round = 0; round < most_windows; ++round) {
        const auto bytes = fleet.total(counter::datagram_bytes_sent);
        const auto datagrams = fleet.total(counter::datagrams_sent);
        std::this_thread::sleep_for(window);
        const auto sent = static_cast<double>(fleet.total(counter::datagram_bytes_sent) - bytes);
        const auto count = static_cast<double>(fleet.total(counter::datagrams_sent) - datagrams);
        if (sent / count < quiet_bytes_per_datagram) {
            return;
        }
    }
}

auto measure_fleet(std::size_t count) -> fleet_figures
{
    auto fleet = control_fleet{count, zones, 0};
    if (!fleet.wait_until_joined()) {
        std::printf("%zu instances did not join\n", count);
    }
    static_cast<void>(fleet.apply(20));
    wait_until_quiet(fleet);
    const auto bytes = fleet.total(counter::datagram_bytes_sent);
    const auto datagrams = fleet.total(counter::datagrams_sent);
    const auto spent = process_cpu_seconds();
    std::this_thread::sleep_for(observed);
    const auto nodes = static_cast<double>(count) * std::chrono::duration<double>(observed).count();
    auto figures = fleet_figures{};
    figures.sent_bytes =
        static_cast<double>(fleet.total(counter::datagram_bytes_sent) - bytes) / nodes;
    figures.datagrams =
        static_cast<double>(fleet.total(counter::datagrams_sent) - datagrams) / nodes;
    figures.core_share = (process_cpu_seconds() - spent) / nodes;
    return figures;
}

auto measure_fleets(case_report& report, const std::vector<std::size_t>& counts) -> void
{
    auto bytes = std::vector<point>{};
    auto datagrams = std::vector<point>{};
    auto shares = std::vector<point>{};
    auto plot = std::ofstream{"capacity.dat"};
    for (const auto count : counts) {
        const auto figures = measure_fleet(count);
        const auto x = static_cast<double>(count);
        bytes.push_back({x, figures.sent_bytes});
        datagrams.push_back({x, figures.datagrams});
        shares.push_back({x, figures.core_share * 100.0});
        std::printf("%zu instances: %.4g bytes/s sent, %.4g datagrams/s, %.4g%% of a core each\n",
                    count, figures.sent_bytes, figures.datagrams, figures.core_share * 100.0);
        std::fflush(stdout);
        plot << count << ' ' << figures.sent_bytes << ' ' << figures.core_share * 100.0 << '\n';
    }
    print_fit("datagrams sent per instance and second", datagrams, aim_members);
    const auto sent = print_fit("bytes sent per instance and second", bytes, aim_members);
    const auto share = print_fit("percent of a core per instance", shares, aim_members);
    report.add("control bytes per second at 2,800, sent and received", {2.0 * sent},
               bound_kind::at_most, 29'000.0);
    report.add("control percent of a core at 2,800, datagrams", {share}, bound_kind::at_most, 2.6);
}

auto allocated_bytes() -> double
{
    return static_cast<double>(mallinfo2().uordblks);
}

auto make_member(std::size_t number) -> member
{
    const auto port = static_cast<std::uint16_t>(number);
    return {"entry-" + std::to_string(number),
            "zone-" + std::to_string(number % 9),
            {1, port},
            {1, port},
            {1, port},
            1,
            member_state::alive};
}

/// Seconds of processor time that one call takes, on average.
template <typename Call>
auto time_call(int times, Call call) -> double
{
    const auto spent = process_cpu_seconds();
    for (auto index = 0; index < times; ++index) {
        call();
    }
    return (process_cpu_seconds() - spent) / times;
}

auto measure_members(case_report& report) -> void
{
    auto memory = std::vector<point>{};
    auto probe = std::vector<point>{};
    auto list_bytes = std::vector<point>{};
    for (const auto count : {700, 1'400, 2'800, 5'600}) {
        const auto before = allocated_bytes();
        auto node = membership{make_member(0), {}, {}, 1};
        auto list = std::vector<member>{};
        for (auto number = 1; number < count; ++number) {
            list.push_back(make_member(static_cast<std::size_t>(number)));
        }
        const auto list_memory = allocated_bytes() - before;
        auto now = time_point{seconds{1}};
        node.merge(list, now);
        const auto x = static_cast<double>(count);
        memory.push_back({x, allocated_bytes() - before - list_memory});
        for (auto settle = 0; settle < 2'000; ++settle) {
            static_cast<void>(node.tick(now));
            now += milliseconds{500};
        }
        probe.push_back({x, time_call(200, [&] {
                                static_cast<void>(node.tick(now));
                                now += milliseconds{500};
                            }) * 1e6});
        const auto codec = envelope{"bench", message_key{"0123456789abcdef"}};
        auto stream = std::ostringstream{};
        auto archive = cereal::PortableBinaryOutputArchive{stream};
        save_bounded(archive, list);
        list_bytes.push_back({x, static_cast<double>(stream.str().size())});
    }
    print_fit("bytes of state, members", memory, aim_members);
    const auto microseconds_per_probe =
        print_fit("microseconds per probe period, membership", probe, aim_members);
    const auto list =
        print_fit("bytes of a whole member list on the wire", list_bytes, aim_members);
    report.note("percent of a core, two probe periods a second",
                {microseconds_per_probe * 2.0 * 1e-4});
    report.note("bytes per second, a list each 60 s, there and back", {2.0 * list / 60.0});
}

auto measure_targets(case_report& report) -> void
{
    auto memory = std::vector<point>{};
    auto names = std::vector<std::string>{};
    for (auto number = 0; number < 9; ++number) {
        names.push_back("entry-" + std::to_string(number));
    }
    for (const auto count : {1'000, 2'000, 4'000, 8'000}) {
        const auto before = allocated_bytes();
        auto counters = counter_set{};
        const auto chooser = random_selector{};
        auto table = target_table{{}, chooser, counters, 1};
        auto service = service_spec{};
        service.version = "v1";
        service.connections_per_replica = 25;
        service.versions.push_back({"v1", {}});
        for (auto number = 0; number < count; ++number) {
            service.versions.front().targets.push_back(
                {{1, static_cast<std::uint16_t>(number)}, "zone-1"});
        }
        const auto now = time_point{seconds{1}};
        table.configure({service, {}, "entry-0", {}, ownership{names}}, now);
        for (const auto& spec : service.versions.front().targets) {
            table.on_report(spec.where, {1, milliseconds{1}, false, {{1, 1, 0}}}, now);
        }
        memory.push_back({static_cast<double>(count), allocated_bytes() - before});
    }
    const auto bytes =
        print_fit("bytes of state, targets (declaration and table)", memory, aim_targets);
    report.add("megabytes of state for 21,000 targets", {bytes / 1e6}, bound_kind::at_most, 32.0);
}

auto measure_ownership(case_report& report) -> void
{
    auto cost = std::vector<point>{};
    for (const auto count : {350, 700, 1'400, 2'800}) {
        auto names = std::vector<std::string>{};
        for (auto number = 0; number < count; ++number) {
            names.push_back("entry-" + std::to_string(number));
        }
        const auto sharing = ownership{names};
        auto port = std::uint16_t{1};
        cost.push_back(
            {static_cast<double>(count), time_call(100, [&] {
                                             static_cast<void>(sharing.owners({1, port++}, 25));
                                         }) * 1e6});
    }
    const auto per_target =
        print_fit("microseconds to rank the owners of one target", cost, aim_members);
    const auto seconds_per_change = per_target * aim_targets * 1e-6;
    // 1,800 restarts change the set twice each, 27 failures once.
    const auto changes_per_second = (1'800.0 * 2.0 + 27.0) / 86'400.0;
    report.note("seconds to rank all targets anew after one change", {seconds_per_change});
    report.add("percent of a core, all targets ranked at each change",
               {seconds_per_change * changes_per_second * 100.0}, bound_kind::at_most, 2.6);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto report = case_report{};
    if (argc == 2) {
        // One size only, to look closer at it.
        const auto figures = measure_fleet(std::strtoul(argv[1], nullptr, 10));
        std::printf("%s instances: %.4g bytes/s sent, %.4g datagrams/s, %.4g%% of a core each\n",
                    argv[1], figures.sent_bytes, figures.datagrams, figures.core_share * 100.0);
        return 0;
    }
    measure_members(report);
    measure_targets(report);
    measure_ownership(report);
    measure_fleets(report, {8, 16, 32, 64, 128});
    return 0;
}
