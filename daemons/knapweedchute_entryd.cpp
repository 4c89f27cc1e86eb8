// knapweedchute-entryd: relays callers' requests to targets; every entry instance runs one.
#include "daemon_start.hpp"
#include "duty_client.hpp"
#include "duty_keys.hpp"
#include "names.hpp"
#include "store_client.hpp"
#include "view_feed.hpp"

#include <knapweedchute/entry/entry_instance.hpp>
#include <knapweedchute/entry/entry_settings_reader.hpp>
#include <knapweedchute/entry/settings_follower.hpp>
#include <knapweedchute/feed/feed_limits.hpp>

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>

namespace {

using namespace knapweedchute;

const auto daemon_name = std::string{"knapweedchute-entryd"};

/// Waits for signals: one to stop, one that says that the settings have changed.
auto handle_signals(boost::asio::signal_set& signals, entry_instance& instance,
                    settings_follower& settings) -> void
{
    signals.async_wait([&signals, &instance, &settings](const auto& failure, int received) {
        if (failure) {
            return;
        }
        if (received == SIGHUP) {
            settings.reload();
        } else {
            instance.stop();
        }
        handle_signals(signals, instance, settings);
    });
}

auto serve(const entry_settings& values, const std::string& path) -> int
{
    auto instance =
        entry_instance{values, platform::interface(), knapweedchute::daemon::unix_milliseconds()};
    auto reason = error{};
    if (!instance.start(reason)) {
        std::cerr << "knapweedchute-entryd: " << to_string(reason) << '\n';
        return knapweedchute::daemon::exit_not_started;
    }
    auto store = platform::store_client{instance.loop(), instance.timers(), values.store_address,
                                        instance.counters(),
                                        feed_limits{values.propagation_limit}.store_margin()};
    auto listener = platform::view_feed{instance.timers(), store, instance.view(), instance.peers(),
                                        instance.peers().self()};
    auto duty = std::optional<platform::duty_keys>{};
    auto duty_calls = std::optional<platform::duty_client>{};
    if (auto* const usage = instance.usage()) {
        duty.emplace(*usage);
        duty_calls.emplace(instance.loop(), instance.timers(), values.store_address,
                           values.usage->platform_address, instance.counters(), *duty);
        listener.set_duty(*duty);
        usage->start(*duty_calls);
    }
    instance.start_rollouts(listener);
    instance.follow(store, listener, std::string{platform::operator_prefix});
    auto signals = boost::asio::signal_set{instance.loop(), SIGTERM, SIGINT, SIGHUP};
    auto settings = settings_follower{instance, path};
    settings.start();
    handle_signals(signals, instance, settings);
    instance.run();
    // Nothing is left to save, and the logging library's shutdown waits for its idle threads,
    // longer than the platform's grace lasts on a small machine.
    std::quick_exit(knapweedchute::daemon::exit_success);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    return knapweedchute::daemon::run<entry_settings_reader>(argc, argv, daemon_name, serve);
}
