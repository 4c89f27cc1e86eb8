#include "configuration_probe.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>
#include <iomanip>
#include <sstream>

namespace knapweedchute::soak {
namespace {

constexpr auto status_ok = 200U;
constexpr auto status_no_route = 404U;
constexpr auto status_timeout = 504U;
/// A request ends a little before its route's time-out, and is measured with the machine's delays.
constexpr auto answer_margin = milliseconds{15};
constexpr auto time_tolerance = milliseconds{150};
/// The users' pages: a version that has shown stays in force, with this much for requests under
/// way.
constexpr auto step_back_slack = milliseconds{250};
/// Removed routes that are still asked for: who is behind runs the latest ones.
constexpr auto asked_removed = std::size_t{5};
constexpr auto kinds =
    std::array{probe_kind::newest,    probe_kind::older, probe_kind::removed, probe_kind::never,
               probe_kind::relocated, probe_kind::split, probe_kind::timed};

auto milliseconds_between(time_point from, time_point until) -> std::string
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(until - from).count()) + " ms";
}

/// The time of day, as the daemons' logs state it.
auto time_of_day() -> std::string
{
    const auto now = std::chrono::system_clock::now();
    const auto whole = std::chrono::system_clock::to_time_t(now);
    const auto part = std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
    auto parts = std::tm{};
    gmtime_r(&whole, &parts);
    auto text = std::ostringstream{};
    text << std::put_time(&parts, "%H:%M:%S") << '.' << std::setw(3) << std::setfill('0')
         << part % 1'000;
    return text.str();
}

} // namespace

auto to_string(probe_kind kind) -> std::string
{
    static constexpr auto names =
        std::array{"newest", "older", "removed", "never", "relocated", "split", "timed"};
    return names.at(static_cast<std::size_t>(kind));
}

auto choose_route(const configuration_history& history, probe_kind kind, std::uint64_t number)
    -> std::string
{
    const auto& added = history.added();
    const auto& removed = history.removed();
    switch (kind) {
    case probe_kind::newest:
        return added.empty() ? "" : added.back();
    case probe_kind::older:
        return added.empty() ? "" : added.at(number % added.size());
    case probe_kind::removed:
        return removed.empty()
                   ? ""
                   : *(removed.rbegin() + static_cast<std::ptrdiff_t>(
                                              number % std::min(asked_removed, removed.size())));
    case probe_kind::never:
        return "n" + std::to_string(number);
    case probe_kind::relocated:
        return configuration_history::relocated_route;
    case probe_kind::split:
        return configuration_history::split_route;
    case probe_kind::timed:
        return configuration_history::timed_route;
    }
    return "";
}

auto configuration_judge::allows(std::size_t position, const probe& asked,
                                 const probe_answer& answer) const -> bool
{
    const auto& routes = history_->versions().at(position).routes;
    const auto route = routes.find(asked.route);
    if (answer.status == status_no_route || route == routes.end()) {
        return answer.status == status_no_route && route == routes.end();
    }
    if (answer.status == status_ok) {
        return route->second.parts.contains(answer.service);
    }
    const auto off = answer.ended - asked.sent - (route->second.timeout - answer_margin);
    return off < time_tolerance && off > -time_tolerance;
}

auto configuration_judge::shows_version(const probe& asked, const probe_answer& answer) const
    -> bool
{
    if (answer.status != status_timeout) {
        return answer.status == status_ok || answer.status == status_no_route;
    }
    if (asked.kind != probe_kind::timed || !answer.undisturbed) {
        return false;
    }
    for (auto position = std::size_t{0}; position < history_->versions().size(); ++position) {
        if (allows(position, asked, answer)) {
            return true;
        }
    }
    return false;
}

auto configuration_judge::judge(const probe& asked, const probe_answer& answer) -> void
{
    auto& count = counts_[asked.kind];
    count[asked.in_touch ? "in touch" : "out of touch"] += 1;
    auto& window = window_[{asked.instance, asked.kind}];
    // A measured time that was disturbed tells nothing, neither that nothing was answered.
    window.asked += answer.status == status_timeout && !answer.undisturbed ? 0 : 1;
    if (!shows_version(asked, answer)) {
        count["shows nothing with " + std::to_string(answer.status)] += 1;
        return;
    }
    const auto newest = allows(history_->newest_allowed(answer.ended), asked, answer);
    window.newest += newest ? 1 : 0;
    window.other += newest ? 0 : 1;
    const auto allowing = newest_allowing(asked, answer);
    if (!allowing) {
        // That holds for all instances, in touch or not.
        fault(asked, answer, "as no version ever allowed");
        return;
    }
    check_bound(*allowing, asked, answer);
    check_order(asked, answer);
}

auto configuration_judge::newest_allowing(const probe& asked, const probe_answer& answer) const
    -> std::optional<std::size_t>
{
    for (auto count = history_->newest_allowed(answer.ended) + 1; count > 0; --count) {
        if (allows(count - 1, asked, answer)) {
            return count - 1;
        }
    }
    return std::nullopt;
}

auto configuration_judge::check_bound(std::size_t allowing, const probe& asked,
                                      const probe_answer& answer) -> void
{
    const auto oldest = history_->oldest_allowed(asked.sent);
    if (allowing >= oldest) {
        return;
    }
    if (!asked.in_touch) {
        counts_[asked.kind]["behind out of touch"] += 1;
        return;
    }
    const auto& due = history_->versions().at(oldest);
    fault(asked, answer,
          "as only version " + std::to_string(history_->versions().at(allowing).number) +
              " or older allows, " + milliseconds_between(*due.acknowledged, asked.sent) +
              " after the ack of version " + std::to_string(due.number));
}

auto configuration_judge::check_order(const probe& asked, const probe_answer& answer) -> void
{
    const auto newest = history_->newest_allowed(answer.ended);
    auto& shown = shown_[{asked.instance, asked.lifetime}];
    auto position = shown.position;
    while (position <= newest && !allows(position, asked, answer)) {
        ++position;
    }
    if (position <= newest) {
        if (asked.sent > shown.when && position > shown.position) {
            shown = {position, answer.ended};
        }
        return;
    }
    if (asked.sent > shown.when + step_back_slack) {
        fault(asked, answer,
              "as only versions before " +
                  std::to_string(history_->versions().at(shown.position).number) + " allow, " +
                  milliseconds_between(shown.when, asked.sent) + " after that one had shown");
    }
}

auto configuration_judge::fault(const probe& asked, const probe_answer& answer,
                                const std::string& what) -> void
{
    counts_[asked.kind]["broken"] += 1;
    faults_.push_back(time_of_day() + " probe " + asked.id + " at instance " +
                      std::to_string(asked.instance) + ": " + to_string(asked.kind) + " /" +
                      asked.route + "/ got " + std::to_string(answer.status) + " " +
                      answer.service + " in " + milliseconds_between(asked.sent, answer.ended) +
                      (asked.in_touch ? ", in touch, " : ", out of touch, ") + what);
}

auto configuration_judge::expect_newest(std::size_t instances, const std::string& when) -> void
{
    for (auto instance = std::size_t{0}; instance < instances; ++instance) {
        for (const auto kind : kinds) {
            const auto& seen = window_[{instance, kind}];
            const auto had = kind != probe_kind::removed || !history_->removed().empty();
            if (had && (seen.other > 0 || seen.newest * 2 <= seen.asked)) {
                faults_.push_back(when + ": instance " + std::to_string(instance) + " answered " +
                                  std::to_string(seen.newest) + " of " +
                                  std::to_string(seen.asked) + " probes " + to_string(kind) +
                                  " as the newest version allows, " + std::to_string(seen.other) +
                                  " otherwise");
            }
        }
    }
}

auto configuration_judge::summary() const -> std::string
{
    auto text = std::ostringstream{};
    text << "versions with probes " << history_->versions().size();
    for (const auto& [kind, count] : counts_) {
        text << "; " << to_string(kind);
        for (const auto& [name, number] : count) {
            text << ' ' << name << '=' << number;
        }
    }
    return text.str();
}

} // namespace knapweedchute::soak
