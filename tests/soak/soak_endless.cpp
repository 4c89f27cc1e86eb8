// The part in which a service's targets send answers without end.
#include "soak_world.hpp"

#include <iostream>
#include <string>

namespace knapweedchute::soak {
namespace {

/// The users' pages: a process that exceeds it is killed.
constexpr auto memory_limit_bytes = std::size_t{260} * 1'000'000;
constexpr auto endless_callers = 100;
constexpr auto endless_waits_ms = 2'500;
constexpr auto endless_pause = milliseconds{15};
constexpr auto call_timeout = milliseconds{4'000};

} // namespace

auto soak_world::run_endless() -> std::vector<std::string>
{
    pass(seconds{3});
    for (auto instance = std::size_t{0}; instance < entries_.size(); ++instance) {
        for (auto index = 0; index < endless_callers; ++index) {
            endless_callers_.push_back(
                std::make_unique<call_client>(loop_, timers_, caller_addresses_.at(instance)));
            ask_endless(endless_callers_.size() - 1);
        }
    }
    pass(options_.faults);
    expect_served("beside answers without end");
    for (auto index = std::size_t{0}; index < entries_.size(); ++index) {
        const auto peak = entries_.at(index)->peak_memory_bytes();
        std::cout << "instance " << index << " held " << peak << " bytes at its peak\n";
        if (peak == 0 || peak > memory_limit_bytes) {
            faults_.push_back("instance " + std::to_string(index) + " held " +
                              std::to_string(peak) + " bytes at its peak");
        }
    }
    stop_all();
    checker_.check_runs(runs_);
    return all_faults();
}

auto soak_world::ask_endless(std::size_t index) -> void
{
    if (ending_) {
        return;
    }
    const auto text = "GET /endless/x HTTP/1.1\r\nHost: soak\r\nRequest-Id: e" +
                      std::to_string(next_request_++) +
                      "\r\nDeadline-Ms: " + std::to_string(endless_waits_ms) + "\r\n\r\n";
    endless_callers_.at(index)->call(text, call_timeout, [this, index](const auto&) {
        later(endless_pause, [this, index] { ask_endless(index); });
    });
}

} // namespace knapweedchute::soak
