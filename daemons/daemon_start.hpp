#pragma once

#include <knapweedchute/core/log.hpp>

#include <CLI/CLI.hpp>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>

namespace knapweedchute::daemon {

inline constexpr auto exit_success = 0;
inline constexpr auto exit_bad_settings = 2;
inline constexpr auto exit_not_started = 3;

/// \brief Reads the settings of a daemon and prints every fault.
/// \param name Name of the daemon, before each line.
template <typename Reader>
[[nodiscard]] auto read_settings(const std::string& name, const std::string& path)
{
    auto file = std::ifstream{path};
    auto text = std::ostringstream{};
    text << file.rdbuf();
    auto reader = Reader{};
    if (!file) {
        std::cerr << name << ": cannot read " << path << '\n';
        return decltype(reader.read(text.str())){};
    }
    auto values = reader.read(text.str());
    for (const auto& fault : reader.faults()) {
        std::cerr << name << ": " << to_string(fault) << '\n';
    }
    return values;
}

/// \brief Time on the Unix clock: the incarnation of a start.
[[nodiscard]] inline auto unix_milliseconds() -> std::uint64_t
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

/// \brief Reads the command line, checks the settings, starts logging and serves.
/// \param name  Name of the daemon.
/// \param serve Called with the settings and their path; returns the exit code.
template <typename Reader, typename Serve>
[[nodiscard]] auto run(int argc, char** argv, const std::string& name, Serve serve) -> int
{
    auto app = CLI::App{"Entry instance of the knapweedchute query tier."};
    app.footer("Exit codes: 0 stopped gracefully, 2 bad settings, 3 could not start.");
    auto path = std::string{};
    auto check_only = false;
    auto quiet = false;
    app.add_option("--settings", path, "Settings file (JSON)")->required();
    app.add_flag("--check-settings", check_only, "Check the settings and exit");
    app.add_flag("--quiet", quiet, "Log warnings and errors only");
    app.set_version_flag("--version", name + " " KNAPWEEDCHUTE_VERSION);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& failure) {
        const auto code = app.exit(failure);
        return code == 0 ? exit_success : exit_bad_settings;
    }
    const auto values = read_settings<Reader>(name, path);
    if (!values) {
        return exit_bad_settings;
    }
    if (check_only) {
        std::cout << "settings are valid\n";
        return exit_success;
    }
    start_logging(quiet ? log_level::warning : log_level::info);
    return serve(*values, path);
}

} // namespace knapweedchute::daemon
