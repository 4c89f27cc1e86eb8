// load_client: open-loop load against instances, with a history and a summary.
#include "load_run.hpp"

#include <CLI/CLI.hpp>

#include <iostream>

namespace {

auto print(const knapweedchute::bench::load_report& report) -> void
{
    std::cout << "whole " << report.whole << ", partial " << report.partial << ", no answer "
              << report.failed << ", late " << report.late << ", sent again " << report.resent
              << '\n';
    for (const auto& [name, count] : report.refused) {
        std::cout << "refused " << name << ' ' << count << '\n';
    }
    std::cout << "latency ms: median " << report.quantile(0.5) << ", p90 " << report.quantile(0.9)
              << ", p99 " << report.quantile(0.99) << ", max " << report.quantile(1.0) << '\n'
              << "mean coverage " << report.coverage << ", answered worth " << report.answered_worth
              << " of " << report.offered_worth << '\n';
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto app = CLI::App{"Open-loop load on knapweedchute instances (loopback only)."};
    auto options = knapweedchute::bench::load_options{};
    auto callers = std::vector<std::string>{};
    auto deadline_ms = std::int64_t{1'000};
    app.add_option("--callers", callers, "IP:PORT, comma separated")->required()->delimiter(',');
    app.add_option("--service", options.service, "service")->required();
    app.add_option("--text", options.text, "what to search for")->required();
    app.add_option("--rate", options.rate, "searches per second");
    app.add_option("--count", options.count, "searches in all")->check(CLI::Range(1, 1'000'000));
    app.add_option("--deadline-ms", deadline_ms, "deadline of each search");
    app.add_option("--most-worth", options.most_worth, "worth is drawn from 1 to this");
    app.add_option("--seed", options.seed, "seed");
    app.add_option("--history", options.history, "file for the history");
    CLI11_PARSE(app, argc, argv);
    options.deadline = knapweedchute::milliseconds{deadline_ms};
    for (const auto& text : callers) {
        auto reason = knapweedchute::error{};
        const auto where = knapweedchute::parse_address(text, reason);
        const auto loopback = where && (where->ip >> 24U) == 127U;
        if (!loopback) {
            std::cerr << text << ": expected a loopback address\n";
            return 2;
        }
        options.callers.push_back(*where);
    }
    auto run = knapweedchute::bench::load_run{options};
    print(run.run());
    return 0;
}
