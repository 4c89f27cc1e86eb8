#pragma once

#include "experiment.hpp"

#include <string>
#include <vector>

namespace knapweedchute::emulator {

/// \brief Returns the heading of the table of results.
[[nodiscard]] auto table_heading() -> std::string;

/// \brief Returns one line of the table: rates per second, then shares of requests or attempts.
[[nodiscard]] auto table_line(const experiment_row& row) -> std::string;

/// \brief Returns the lines of one row by kind of request.
[[nodiscard]] auto kind_lines(const experiment_config& config, const experiment_row& row)
    -> std::string;

/// \brief Returns a gnuplot script that plots answers in time over the load, a line per policy.
/// \param output Path of the SVG file that the script writes.
[[nodiscard]] auto plot_script(const experiment_config& config,
                               const std::vector<experiment_row>& rows, const std::string& output)
    -> std::string;

} // namespace knapweedchute::emulator
