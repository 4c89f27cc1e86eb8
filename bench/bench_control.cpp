// bench_control: spread of configurations over instances on loopback.
#include "case_report.hpp"
#include "control_fleet.hpp"

#include <algorithm>
#include <cstdio>
#include <thread>

namespace {

using namespace knapweedchute;
using namespace knapweedchute::bench;

constexpr auto in_force_bound_s = 5.0;
constexpr auto zones = std::size_t{3};
constexpr auto applies = 8;
constexpr auto observed = seconds{10};

auto measure_spread(case_report& report, std::size_t count, unsigned loss_permil) -> double
{
    auto fleet = control_fleet{count, zones, loss_permil};
    const auto name =
        std::to_string(count) + " instances, " + std::to_string(loss_permil / 10) + "% lost: ";
    if (!fleet.wait_until_joined()) {
        std::printf("%snot joined within 120 s\n", name.c_str());
    }
    auto times = std::vector<double>{};
    for (auto round = 0; round < applies; ++round) {
        times.push_back(fleet.apply(20));
    }
    const auto failed =
        std::any_of(times.begin(), times.end(), [](double time) { return time < 0; });
    report.add(name + "seconds until in force", failed ? std::vector<double>{99.0} : times,
               bound_kind::at_most, in_force_bound_s);
    const auto reads_before = fleet.platform_reads();
    std::this_thread::sleep_for(observed);
    const auto reads = static_cast<double>(fleet.platform_reads() - reads_before);
    if (loss_permil == 0) {
        fleet.kill(0);
        report.add(name + "seconds, a reader just killed", {fleet.apply(20)}, bound_kind::at_most,
                   in_force_bound_s);
    }
    return reads / std::chrono::duration<double>(observed).count();
}

} // namespace

auto main() -> int
{
    auto report = case_report{};
    auto store_calls = std::vector<double>{};
    for (const auto count : {std::size_t{8}, std::size_t{32}, std::size_t{128}}) {
        for (const auto loss : {0U, 200U}) {
            const auto calls = measure_spread(report, count, loss);
            if (loss == 0) {
                store_calls.push_back(calls);
                report.note(std::to_string(count) + " instances: store calls per second", {calls});
            }
        }
    }
    report.add("store calls per second, 128 instances over 8", {store_calls[2] / store_calls[0]},
               bound_kind::at_most, 1.5);
    return 0;
}
