#include <knapweedchute/core/log.hpp>
#include <knapweedchute/relay/request_log.hpp>

#include <boost/algorithm/string/join.hpp>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <vector>

namespace knapweedchute {
namespace {

using impl::call_part;
using impl::relay_call;
using impl::trace_entry;
using impl::trace_step;

constexpr auto status_server_error = 500U;
/// One in this many successful requests is logged.
constexpr auto sample_one_in = std::uint64_t{1'024};
/// Logged parts per request; further parts rarely add information.
constexpr auto max_logged_parts = std::size_t{6};
constexpr auto held_back_interval = seconds{1};
const auto log_line = logger{"relay"};

struct reason_text
{
    std::string_view name;
    double reserve; ///< Fraction of the burst reserved for more important reasons.
};

constexpr auto reasons =
    std::array{reason_text{"failed", 0.0}, reason_text{"partial", 0.3},
               reason_text{"rejected", 0.4}, reason_text{"late", 0.5}, reason_text{"sampled", 0.7}};

auto milliseconds_of(duration time) -> std::string
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(time).count());
}

/// The part of a path that routes begin with; what follows belongs to the caller.
auto first_segment(const std::string& target) -> std::string
{
    constexpr auto max_bytes = std::size_t{64};
    const auto end = target.find_first_of("/?", 1);
    return target.substr(0, std::min(end, max_bytes));
}

auto in_trouble(const call_part& part) -> bool
{
    const auto sends = std::count_if(part.steps.begin(), part.steps.end(), [](const auto& entry) {
        return entry.step != trace_step::end;
    });
    return !part.answer || sends > 1;
}

auto text_of(const trace_entry& entry) -> std::string
{
    auto text = milliseconds_of(entry.elapsed) + ":" + std::string{to_string(entry.step)};
    if (entry.target) {
        text += ":" + entry.target->id;
    }
    if (entry.step == trace_step::end) {
        text += ":" + std::string{to_string(entry.end_status)};
        return entry.http_status == 0 ? text : text + ":" + std::to_string(entry.http_status);
    }
    char details[32];
    std::snprintf(details, sizeof(details), ":cost%.1f:of%zu", entry.cost, entry.usable);
    return text + details;
}

auto log_part(const relay_call& call, const call_part& part) -> void
{
    auto steps = std::vector<std::string>{};
    std::transform(part.steps.begin(), part.steps.end(), std::back_inserter(steps), text_of);
    log_line.info("Part in trouble.", {{"request", call.request.id},
                                       {"service", part.service},
                                       {"answered", part.answer ? "true" : "false"},
                                       {"steps", boost::algorithm::join(steps, ",")}});
}

auto log_request(const relay_call& call, std::string_view reason, unsigned status, time_point now)
    -> void
{
    const auto answered = std::count_if(call.parts.begin(), call.parts.end(),
                                        [](const auto& part) { return part.answer.has_value(); });
    log_line.info("Request ended.", {{"request", call.request.id},
                                     {"why", std::string{reason}},
                                     {"route", call.matched_route->name},
                                     {"status", std::to_string(status)},
                                     {"ms", milliseconds_of(now - call.started)},
                                     {"allowed_ms", milliseconds_of(call.deadline - call.started)},
                                     {"version", std::to_string(call.table->version())},
                                     {"answered", std::to_string(answered) + "/" +
                                                      std::to_string(call.parts.size())}});
}

} // namespace

auto request_log::reason_of(const relay_call& call, unsigned status, time_point now) -> log_reason
{
    if (call.shed) {
        return log_reason::rejected;
    }
    if (status >= status_server_error) {
        return log_reason::failed;
    }
    const auto complete = std::all_of(call.parts.begin(), call.parts.end(),
                                      [](const auto& part) { return part.answer.has_value(); });
    if (!complete && call.matched_route->is_query()) {
        return log_reason::partial;
    }
    if (now - call.started > call.matched_route->latency_goal) {
        return log_reason::late;
    }
    const auto hash = XXH3_64bits(call.request.id.data(), call.request.id.size());
    return hash % sample_one_in == 0 ? log_reason::sampled : log_reason::none;
}

auto request_log::on_end(const relay_call& call, unsigned status, time_point now) -> void
{
    const auto reason = reason_of(call, status, now);
    // A rejected request has a line of its own, by `on_reject`.
    if (reason == log_reason::none || reason == log_reason::rejected) {
        return;
    }
    log_held_back(now);
    auto troubled_parts = std::vector<const call_part*>{};
    for (const auto& part : call.parts) {
        if (troubled_parts.size() < max_logged_parts && in_trouble(part)) {
            troubled_parts.push_back(&part);
        }
    }
    if (!take_lines(reason, 1 + troubled_parts.size(), now)) {
        return;
    }
    const auto& name = reasons.at(static_cast<std::size_t>(reason)).name;
    log_request(call, name, status, now);
    for (const auto* part : troubled_parts) {
        log_part(call, *part);
    }
}

auto request_log::on_no_route(const relayed_request& request, std::uint64_t version,
                              std::optional<duration> age, time_point now) -> void
{
    if (!take_route_line(now)) {
        return;
    }
    log_line.info("No route.", {{"request", request.id},
                                {"host", request.host},
                                {"path", first_segment(request.target)},
                                {"version", std::to_string(version)},
                                {"age_ms", age ? milliseconds_of(*age) : "unknown"}});
}

auto request_log::on_no_configuration(const relayed_request& request, time_point now) -> void
{
    if (take_route_line(now)) {
        log_line.info("No configuration.", {{"request", request.id}, {"host", request.host}});
    }
}

auto request_log::on_zone_change(const zone_change& change, time_point now) -> void
{
    if (!zone_budget_.take(1.0, 0.0, now)) {
        return;
    }
    const auto own_load = std::to_string(change.own_load);
    if (change.leaving) {
        log_line.info("Leaving the zone.", {{"service", change.group},
                                            {"load", own_load},
                                            {"price", std::to_string(change.price)}});
    } else {
        log_line.info("Keeping to the zone.", {{"service", change.group}, {"load", own_load}});
    }
}

auto request_log::on_reject(const relay_call& call, std::string_view reason,
                            const admission_verdict& verdict, duration retry_after, time_point now)
    -> void
{
    log_held_back(now);
    if (!take_lines(log_reason::rejected, 1, now)) {
        return;
    }
    log_line.info("Request rejected.",
                  {{"request", call.request.id},
                   {"why", std::string{reason}},
                   {"route", call.matched_route->name},
                   {"after_ms", milliseconds_of(now - call.started)},
                   {"expected_wait_ms", milliseconds_of(verdict.expected_wait)},
                   {"max_wait_ms", milliseconds_of(verdict.max_wait)},
                   {"limit", std::to_string(verdict.limit)},
                   {"in_progress", std::to_string(verdict.in_progress)},
                   {"waiting", std::to_string(verdict.waiting)},
                   {"retry_after_ms", milliseconds_of(retry_after)}});
}

auto request_log::take_lines(log_reason reason, std::size_t lines, time_point now) -> bool
{
    const auto reserve = reasons.at(static_cast<std::size_t>(reason)).reserve;
    if (budget_.take(static_cast<double>(lines), reserve, now)) {
        return true;
    }
    hold_back(lines);
    return false;
}

auto request_log::take_route_line(time_point now) -> bool
{
    log_held_back(now);
    if (route_budget_.take(1.0, 0.0, now)) {
        return true;
    }
    hold_back(1);
    return false;
}

auto request_log::hold_back(std::size_t lines) -> void
{
    held_back_ += lines;
    counters_->add(counter::log_lines_held_back, lines);
}

auto request_log::log_held_back(time_point now) -> void
{
    if (held_back_ == 0 || now - held_back_logged_at_ < held_back_interval) {
        return;
    }
    log_line.info("Lines held back.", {{"count", std::to_string(held_back_)}});
    held_back_ = 0;
    held_back_logged_at_ = now;
}

} // namespace knapweedchute
