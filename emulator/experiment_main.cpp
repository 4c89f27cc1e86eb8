// knapweedchute-experiment: compares overload policies in virtual time.
#include "experiment_report.hpp"

#include <knapweedchute/core/log.hpp>

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace knapweedchute;
using namespace knapweedchute::emulator;

constexpr auto exit_bad_file = 2;

auto read_file(const std::string& path) -> std::string
{
    auto content = std::ostringstream{};
    content << std::ifstream{path}.rdbuf();
    return content.str();
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto app = CLI::App{"Compares policies of query instances under load and faults, in virtual "
                        "time, and prints what callers got."};
    auto file = std::string{};
    auto script = std::string{};
    auto output = std::string{"experiment.svg"};
    auto by_kind = false;
    app.add_option("FILE", file, "Experiment in TOML.")->required()->check(CLI::ExistingFile);
    app.add_option("--plot-script", script, "Write a gnuplot script to this file.");
    app.add_option("--plot-output", output, "Image that the gnuplot script writes.");
    app.add_flag("--kinds", by_kind, "Print a line for each kind of request.");
    CLI11_PARSE(app, argc, argv);
    start_logging(log_level::error);
    try {
        const auto config = parse_experiment(read_file(file), file);
        std::cout << config.name << '\n' << table_heading();
        const auto rows = run_experiment(config, [&](const experiment_row& row) {
            std::cout << table_line(row) << (by_kind ? kind_lines(config, row) : "") << std::flush;
        });
        if (!script.empty()) {
            std::ofstream{script} << plot_script(config, rows, output);
        }
    } catch (const config_error& fault) {
        std::cerr << "knapweedchute-experiment: " << fault.what() << '\n';
        return exit_bad_file;
    }
    return 0;
}
