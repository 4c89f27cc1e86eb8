#include "experiment_report.hpp"

#include <cstdio>
#include <sstream>

namespace knapweedchute::emulator {
namespace {

auto share(std::uint64_t part, std::uint64_t whole) -> double
{
    return whole == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
}

template <typename... Values>
auto formatted(const char* format, Values... values) -> std::string
{
    char line[256];
    std::snprintf(line, sizeof(line), format, values...);
    return line;
}

auto columns(const std::string& label, double load, double offered, double goodput,
             const caller_results& got) -> std::string
{
    return formatted(
        "%-14s %5.2f %8.1f %8.1f %7.3f %7.3f %7.3f %8.3f %8.3f %7.3f %7.3f %7.1f %6llu\n",
        label.c_str(), load, offered, goodput, share(got.in_time_later, got.requests),
        share(got.late, got.requests), share(got.partial, got.requests),
        share(got.unserved, got.requests), share(got.rejected_early, got.attempts),
        share(got.rejected_late, got.attempts), share(got.failed, got.attempts),
        std::chrono::duration<double, std::milli>(got.slowest_rejection).count(),
        static_cast<unsigned long long>(got.false_not_run));
}

} // namespace

auto table_heading() -> std::string
{
    return "policy          load  offered  in_time   later    late partial unserved rejected "
           "rej_late  failed rej_max  false\n";
}

auto table_line(const experiment_row& row) -> std::string
{
    return columns(std::string{to_string(row.policy)}, row.load, row.offered_per_second,
                   row.goodput(), row.total);
}

auto kind_lines(const experiment_config& config, const experiment_row& row) -> std::string
{
    auto lines = std::string{};
    for (auto index = std::size_t{0}; index < row.kinds.size(); ++index) {
        const auto& got = row.kinds[index];
        lines += columns(
            "  " + config.kinds[index].name, row.load,
            static_cast<double>(got.requests) / row.seconds_measured,
            static_cast<double>(got.in_time + got.in_time_later) / row.seconds_measured, got);
    }
    return lines;
}

auto plot_script(const experiment_config& config, const std::vector<experiment_row>& rows,
                 const std::string& output) -> std::string
{
    auto script = std::ostringstream{};
    script << "set terminal svg size 720,420 background '#ffffff'\n"
           << "set output '" << output << "'\n"
           << "set title '" << config.name << "' noenhanced\n"
           << "set xlabel 'offered load, multiple of the capacity'\n"
           << "set ylabel 'answers in time per second'\n"
           << "set yrange [0:*]\nset grid\nset key bottom right noenhanced\n";
    auto plots = std::string{};
    for (const auto policy : config.policies) {
        const auto name = std::string{to_string(policy)};
        script << "$" << name << " << EOD\n";
        for (const auto& row : rows) {
            if (row.policy == policy) {
                script << row.load << ' ' << row.goodput() << '\n';
            }
        }
        script << "EOD\n";
        plots.append(plots.empty() ? "plot $" : ", $").append(name);
        plots.append(" using 1:2 with linespoints title '").append(name).append("'");
    }
    script << plots << '\n';
    return script.str();
}

} // namespace knapweedchute::emulator
