// knapweedchute-entryd: relays callers' requests to targets; every entry instance runs one.
#include "names.hpp"
#include "store_client.hpp"
#include "view_feed.hpp"

#include <knapweedchute/core/log.hpp>
#include <knapweedchute/entry/entry_instance.hpp>
#include <knapweedchute/entry/entry_settings_reader.hpp>

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace knapweedchute;

constexpr auto exit_success = 0;
constexpr auto exit_bad_settings = 2;
constexpr auto exit_not_started = 3;

auto read_settings(const std::string& path) -> std::optional<entry_settings>
{
    auto file = std::ifstream{path};
    auto text = std::ostringstream{};
    text << file.rdbuf();
    if (!file) {
        std::cerr << "knapweedchute-entryd: cannot read " << path << '\n';
        return std::nullopt;
    }
    auto reader = entry_settings_reader{};
    auto values = reader.read(text.str());
    for (const auto& fault : reader.faults()) {
        std::cerr << "knapweedchute-entryd: " << to_string(fault) << '\n';
    }
    return values;
}

auto unix_milliseconds() -> std::uint64_t
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

/// Waits for signals: one to stop, one that says that the settings have changed.
auto handle_signals(boost::asio::signal_set& signals, entry_instance& instance,
                    const std::string& path) -> void
{
    signals.async_wait([&signals, &instance, path](const auto& failure, int received) {
        if (failure) {
            return;
        }
        if (received == SIGHUP) {
            const auto valid = read_settings(path).has_value();
            logger{"entry"}.info("Settings read again.", {{"valid", valid ? "true" : "false"}});
        } else {
            instance.stop();
        }
        handle_signals(signals, instance, path);
    });
}

auto serve(const entry_settings& values, const std::string& path) -> int
{
    auto instance = entry_instance{values, platform::interface(), unix_milliseconds()};
    auto reason = error{};
    if (!instance.start(reason)) {
        std::cerr << "knapweedchute-entryd: " << to_string(reason) << '\n';
        return exit_not_started;
    }
    auto store = platform::store_client{instance.loop(), instance.timers(), values.store_address};
    auto listener = platform::view_feed{instance.timers(), store, instance.view(), instance.peers(),
                                        instance.peers().self()};
    instance.follow(store, listener, std::string{platform::operator_prefix});
    auto signals = boost::asio::signal_set{instance.loop(), SIGTERM, SIGINT, SIGHUP};
    handle_signals(signals, instance, path);
    instance.run();
    // Nothing is left to save, and the logging library's shutdown waits for its idle threads,
    // longer than the platform's grace lasts on a small machine.
    std::quick_exit(exit_success);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto app = CLI::App{"Entry instance of the knapweedchute query tier."};
    app.footer("Exit codes: 0 stopped gracefully, 2 bad settings, 3 could not start.");
    auto path = std::string{};
    auto check_only = false;
    app.add_option("--settings", path, "Settings file (JSON)")->required();
    app.add_flag("--check-settings", check_only, "Check the settings and exit");
    app.set_version_flag("--version", "knapweedchute-entryd 0.2.0");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& failure) {
        const auto code = app.exit(failure);
        return code == 0 ? exit_success : exit_bad_settings;
    }
    const auto values = read_settings(path);
    if (!values) {
        return exit_bad_settings;
    }
    if (check_only) {
        std::cout << "settings are valid\n";
        return exit_success;
    }
    start_logging(log_level::info);
    return serve(*values, path);
}
