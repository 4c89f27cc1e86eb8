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

constexpr auto reasons = std::array{reason_text{"failed", 0.0}, reason_text{"partial", 0.3},
                                    reason_text{"late", 0.5}, reason_text{"sampled", 0.7}};

auto milliseconds_of(duration time) -> std::string
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(time).count());
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
    if (reason == log_reason::none) {
        return;
    }
    log_held_back(now);
    auto troubled_parts = std::vector<const call_part*>{};
    for (const auto& part : call.parts) {
        if (troubled_parts.size() < max_logged_parts && in_trouble(part)) {
            troubled_parts.push_back(&part);
        }
    }
    const auto& [name, reserve] = reasons.at(static_cast<std::size_t>(reason));
    const auto lines = static_cast<double>(1 + troubled_parts.size());
    if (!budget_.take(lines, reserve, now)) {
        held_back_ += 1 + troubled_parts.size();
        counters_->add(counter::log_lines_held_back, 1 + troubled_parts.size());
        return;
    }
    log_request(call, name, status, now);
    for (const auto* part : troubled_parts) {
        log_part(call, *part);
    }
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
