#include "experiment.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace knapweedchute::emulator {
namespace {

/// Load before each measurement, as a multiple of the capacity.
constexpr auto warm_up_load = 0.5;

auto longest_deadline(const std::vector<request_kind>& kinds) -> duration
{
    auto longest = duration{0};
    for (const auto& kind : kinds) {
        longest = std::max<duration>(longest, kind.deadline);
    }
    return longest;
}

auto apply_fault(emulated_fleet& fleet, const target_fault& fault, std::size_t shards) -> void
{
    if (fault.zone_lost) {
        fleet.change([](auto, auto, auto zone) { return zone == 0; },
                     [](auto& model) { model.down = true; });
        return;
    }
    const auto affected =
        static_cast<std::size_t>(std::ceil(fault.share * static_cast<double>(shards)));
    fleet.change(
        [affected](auto shard, auto replica, auto) { return replica == 0 && shard < affected; },
        [&](auto& model) {
            model.slowdown = fault.slowdown;
            model.rejected_share = fault.rejected_share;
        });
}

auto add(experiment_row& sum, const experiment_row& other) -> void
{
    sum.seconds_measured += other.seconds_measured;
    sum.part_runs += other.part_runs;
    sum.offered_per_second = other.offered_per_second;
    sum.kinds.resize(other.kinds.size());
    for (auto index = std::size_t{0}; index < other.kinds.size(); ++index) {
        sum.kinds[index] = sum.kinds[index] + other.kinds[index];
    }
    sum.total = sum.total + other.total;
}

} // namespace

auto play(const experiment_config& config, fleet_policy policy, double load, std::uint64_t seed)
    -> experiment_row
{
    auto options = config.fleet;
    options.policy = policy;
    auto timers = test::manual_timer_queue{};
    auto fleet = emulated_fleet{options, config.kinds, timers, seed};
    auto callers = emulated_callers{fleet, config.kinds, config.callers, timers, seed};
    const auto capacity = fleet.capacity();
    callers.run(config.warm_up, capacity * warm_up_load);
    for (const auto& fault : config.faults) {
        apply_fault(fleet, fault, options.shards);
    }
    callers.clear();
    const auto runs_before = fleet.targets().started_count();
    callers.run(config.measured, capacity * load);
    fleet.advance(longest_deadline(config.kinds));
    return {policy,
            load,
            std::chrono::duration<double>(config.measured).count(),
            capacity * load,
            callers.results(),
            callers.total(),
            fleet.targets().started_count() - runs_before};
}

auto run_experiment(const experiment_config& config,
                    const std::function<void(const experiment_row&)>& progress)
    -> std::vector<experiment_row>
{
    auto rows = std::vector<experiment_row>{};
    for (const auto policy : config.policies) {
        for (const auto load : config.loads) {
            auto row = experiment_row{policy, load, 0.0, 0.0, {}, {}, 0};
            for (const auto seed : config.seeds) {
                add(row, play(config, policy, load, seed));
            }
            progress(row);
            rows.push_back(std::move(row));
        }
    }
    return rows;
}

} // namespace knapweedchute::emulator
