#pragma once

#include "experiment_config.hpp"

#include <functional>
#include <vector>

namespace knapweedchute::emulator {

/// \brief What callers got from one policy under one load, added up over the seeds.
struct experiment_row
{
    fleet_policy policy = fleet_policy::admission; ///< Policy of the instances.
    double load = 0.0;                             ///< Offered load, multiple of the capacity.
    double seconds_measured = 0.0;                 ///< Measured time of all seeds together.
    double offered_per_second = 0.0;               ///< Requests per second, without retries.
    std::vector<caller_results> kinds;             ///< Results by kind.
    caller_results total;                          ///< Results of all kinds together.
    std::uint64_t part_runs = 0;                   ///< Parts that targets started to process.

    /// \brief Answers per second within the goal of the attempt that they answer.
    [[nodiscard]] auto goodput() const -> double
    {
        return static_cast<double>(total.in_time + total.in_time_later) / seconds_measured;
    }
};

/// \brief Plays one policy under one load with one seed.
[[nodiscard]] auto play(const experiment_config& config, fleet_policy policy, double load,
                        std::uint64_t seed) -> experiment_row;

/// \brief Plays a whole experiment.
/// \param progress Receives each row as soon as it is complete.
[[nodiscard]] auto run_experiment(const experiment_config& config,
                                  const std::function<void(const experiment_row&)>& progress)
    -> std::vector<experiment_row>;

} // namespace knapweedchute::emulator
