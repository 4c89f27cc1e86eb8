// knapweedchuted: the daemon that every entry instance runs.
#include "daemon_start.hpp"

#include <knapweedchute/config/settings_reader.hpp>
#include <knapweedchute/runtime/query_instance.hpp>

#include <unistd.h>

#include <csignal>
#include <iostream>
#include <thread>

namespace {

auto blocked_signals() -> sigset_t
{
    auto signals = sigset_t{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

auto wait_for_signal(const sigset_t& signals) -> void
{
    auto received = 0;
    sigwait(&signals, &received);
}

auto serve(const knapweedchute::settings& values) -> int
{
    const auto signals = blocked_signals();
    const auto gate = knapweedchute::network_filter{};
    auto instance =
        knapweedchute::query_instance{values, knapweedchute::daemon::unix_milliseconds(), gate};
    auto reason = knapweedchute::error{};
    if (!instance.start(reason)) {
        std::cerr << "knapweedchuted: " << to_string(reason) << '\n';
        return knapweedchute::daemon::exit_not_started;
    }
    wait_for_signal(signals);
    // A second signal shortens the stop.
    auto second = std::thread{[&] {
        wait_for_signal(signals);
        instance.shorten_grace();
    }};
    instance.stop();
    kill(getpid(), SIGTERM);
    second.join();
    return knapweedchute::daemon::exit_success;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    return knapweedchute::daemon::run<knapweedchute::settings_reader>(
        argc, argv, "knapweedchuted",
        [](const auto& values, const auto& /*path*/) { return serve(values); });
}
