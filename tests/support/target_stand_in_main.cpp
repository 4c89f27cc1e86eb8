#include "target_stand_in.hpp"

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>

namespace {

auto options_from(int argc, char** argv, knapweedchute::test::target_options& options) -> int
{
    auto app = CLI::App{"Stand-in for a target."};
    auto where = std::string{};
    auto places = std::vector<std::string>{};
    auto latency_us = 0;
    app.add_option("--address", where, "IP:PORT")->required();
    app.add_option("--serve", places, "SNAPSHOT/SHARDS/SHARD, repeated")->required();
    app.add_option("--latency-us", latency_us, "time to serve a part");
    app.add_option("--straggler-share", options.straggler_share, "share of slow parts");
    app.add_option("--limit", options.limit, "requests in progress when warm");
    app.add_option("--seed", options.seed, "seed");
    CLI11_PARSE(app, argc, argv);
    auto reason = knapweedchute::error{};
    const auto parsed = knapweedchute::parse_address(where, reason);
    if (!parsed) {
        std::cerr << to_string(reason) << '\n';
        return 2;
    }
    options.where = *parsed;
    options.latency = std::chrono::microseconds{latency_us};
    for (const auto& text : places) {
        auto place = knapweedchute::served_shard{};
        auto stream = std::istringstream{text};
        auto slash = char{};
        stream >> place.snapshot >> slash >> place.shards >> slash >> place.shard;
        options.serving.push_back(place);
    }
    return 0;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto options = knapweedchute::test::target_options{};
    const auto code = options_from(argc, argv, options);
    if (code != 0 || options.serving.empty()) {
        return code;
    }
    auto signals = sigset_t{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const auto target = knapweedchute::test::target_stand_in{options};
    if (!target.listening()) {
        return 3;
    }
    auto received = 0;
    sigwait(&signals, &received);
    return 0;
}
