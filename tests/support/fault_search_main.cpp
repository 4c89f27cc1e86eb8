// Plays drawn schedules of faults in virtual time and prints those in which a change is missing.
#include "support/fault_schedule.hpp"

#include <CLI/CLI.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <string_view>
#include <utility>

using namespace knapweedchute;
using namespace knapweedchute::test;

namespace {

struct verdict
{
    std::string_view name;
    missing_change fault_findings::*finding;
    milliseconds limit;
};

/// Leaves out every step without which the verdict stays.
auto shrink(drawn_faults drawn, const verdict& failed, milliseconds limit) -> drawn_faults
{
    for (auto index = drawn.steps.size(); index > 0; --index) {
        auto smaller = drawn;
        smaller.steps.erase(smaller.steps.begin() + static_cast<std::ptrdiff_t>(index) - 1);
        if ((play_faults(smaller, limit).*failed.finding).age > failed.limit) {
            drawn = smaller;
        }
    }
    return drawn;
}

auto print(const drawn_faults& drawn) -> void
{
    for (const auto& step : drawn.steps) {
        std::cout << " " << step;
    }
    std::cout << std::endl;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto app = CLI::App{"Searches schedules of faults in which an instance lacks a change."};
    auto first = std::uint64_t{1};
    auto last = std::uint64_t{200};
    auto max_faults = 3;
    auto limit_ms = 3'000;
    auto turned_away_limit_ms = 15'000;
    auto max_events = std::size_t{0};
    auto shrinks = false;
    auto claims_out = false;
    app.add_option("--first", first, "first seed")->capture_default_str();
    app.add_option("--last", last, "last seed")->capture_default_str();
    app.add_option("--faults", max_faults, "largest number of faults in a schedule")
        ->capture_default_str()
        ->check(CLI::Range(1, 20));
    app.add_option("--limit-ms", limit_ms,
                   "time within which a change must be in use, and largest age that is claimed")
        ->capture_default_str();
    app.add_option("--turned-away-limit-ms", turned_away_limit_ms,
                   "the same at instances that the store turns away")
        ->capture_default_str();
    app.add_option("--max-events", max_events, "bound of a watch's answer; 0: none")
        ->capture_default_str();
    app.add_flag("--claims-out", claims_out, "also judges claims of instances out of contact");
    app.add_flag("--shrink", shrinks, "leaves out the steps that do not matter");
    CLI11_PARSE(app, argc, argv);

    const auto limit = milliseconds{limit_ms};
    const auto verdicts = std::array{
        verdict{"in contact", &fault_findings::in_contact, limit},
        verdict{"turned away", &fault_findings::turned_away, milliseconds{turned_away_limit_ms}},
        verdict{"claims to be current", &fault_findings::claimed, limit},
        verdict{"claims to be current out of contact", &fault_findings::claimed_out,
                claims_out ? limit : std::chrono::hours{24}}};
    auto counts = std::array<std::size_t, 4>{};
    auto oldest = std::array<duration, 4>{};
    auto failed = false;
    for (auto seed = first; seed <= last; ++seed) {
        auto drawn = draw_faults(seed, max_faults);
        drawn.max_events = max_events;
        const auto findings = play_faults(drawn, limit);
        for (auto index = std::size_t{0}; index < verdicts.size(); ++index) {
            const auto& judged = verdicts.at(index);
            const auto& missing = findings.*judged.finding;
            oldest.at(index) = std::max(oldest.at(index), missing.age);
            if (missing.age <= judged.limit) {
                continue;
            }
            failed = true;
            counts.at(index) += 1;
            std::cout << "seed " << seed << ": " << drawn.zones.size() << " instances"
                      << (drawn.gossip ? " with gossip, " : ", ") << missing.instance << " "
                      << judged.name << " lacks a change of " << missing.age / milliseconds{1}
                      << " ms at " << missing.at / milliseconds{1} << " ms:";
            print(shrinks ? shrink(drawn, judged, limit) : drawn);
        }
    }
    std::cout << last - first + 1 << " schedules";
    for (auto index = std::size_t{0}; index < verdicts.size(); ++index) {
        std::cout << "; " << verdicts.at(index).name << ": " << counts.at(index) << ", oldest "
                  << oldest.at(index) / milliseconds{1} << " ms";
    }
    std::cout << std::endl;
    return failed ? 1 : 0;
}
