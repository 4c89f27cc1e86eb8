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
/// One in so many good requests is written about.
constexpr auto sample_one_in = std::uint64_t{1'024};
/// Parts in trouble of one request that are written about: the rest tells the same.
constexpr auto most_parts = std::size_t{6};
constexpr auto held_back_interval = seconds{1};
const auto log_line = logger{"relay"};

struct reason_text
{
    std::string_view name;
    double reserve; ///< Part of the burst that is left to what matters more.
};

constexpr auto reasons = std::array{reason_text{"failed", 0.0}, reason_text{"partial", 0.3},
                                    reason_text{"late", 0.5}, reason_text{"sampled", 0.7}};

auto milliseconds_of(duration time) -> std::string
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(time).count());
}

auto in_trouble(const call_part& one) -> bool
{
    const auto sends = std::count_if(one.steps.begin(), one.steps.end(), [](const auto& entry) {
        return entry.step != trace_step::end;
    });
    return !one.answer || sends > 1;
}

auto text_of(const trace_entry& entry) -> std::string
{
    auto text = milliseconds_of(entry.after) + ":" + std::string{to_string(entry.step)};
    if (entry.target) {
        text += ":" + entry.target->id;
    }
    if (entry.step == trace_step::end) {
        text += ":" + std::string{to_string(entry.how)};
        return entry.status == 0 ? text : text + ":" + std::to_string(entry.status);
    }
    char known[32];
    std::snprintf(known, sizeof(known), ":cost%.1f:of%zu", entry.cost, entry.usable);
    return text + known;
}

auto log_part(const relay_call& of, const call_part& one) -> void
{
    auto steps = std::vector<std::string>{};
    std::transform(one.steps.begin(), one.steps.end(), std::back_inserter(steps), text_of);
    log_line.info("Part in trouble.", {{"request", of.request.id},
                                       {"service", one.service},
                                       {"answered", one.answer ? "true" : "false"},
                                       {"steps", boost::algorithm::join(steps, ",")}});
}

auto log_request(const relay_call& of, std::string_view why, unsigned status, time_point now)
    -> void
{
    const auto answered = std::count_if(of.parts.begin(), of.parts.end(),
                                        [](const auto& one) { return one.answer.has_value(); });
    log_line.info("Request ended.",
                  {{"request", of.request.id},
                   {"why", std::string{why}},
                   {"route", of.way->name},
                   {"status", std::to_string(status)},
                   {"ms", milliseconds_of(now - of.started)},
                   {"allowed_ms", milliseconds_of(of.deadline - of.started)},
                   {"version", std::to_string(of.table->version())},
                   {"answered", std::to_string(answered) + "/" + std::to_string(of.parts.size())}});
}

} // namespace

auto request_log::reason_of(const relay_call& of, unsigned status, time_point now) -> log_reason
{
    if (status >= status_server_error) {
        return log_reason::failed;
    }
    const auto whole = std::all_of(of.parts.begin(), of.parts.end(),
                                   [](const auto& one) { return one.answer.has_value(); });
    if (!whole && of.way->is_query()) {
        return log_reason::partial;
    }
    if (now - of.started > of.way->latency_goal) {
        return log_reason::late;
    }
    const auto hash = XXH3_64bits(of.request.id.data(), of.request.id.size());
    return hash % sample_one_in == 0 ? log_reason::sampled : log_reason::none;
}

auto request_log::on_end(const relay_call& of, unsigned status, time_point now) -> void
{
    const auto reason = reason_of(of, status, now);
    if (reason == log_reason::none) {
        return;
    }
    tell_held_back(now);
    auto troubled = std::vector<const call_part*>{};
    for (const auto& one : of.parts) {
        if (troubled.size() < most_parts && in_trouble(one)) {
            troubled.push_back(&one);
        }
    }
    const auto& [name, reserve] = reasons.at(static_cast<std::size_t>(reason));
    const auto lines = static_cast<double>(1 + troubled.size());
    if (!budget_.take(lines, reserve, now)) {
        held_back_ += 1 + troubled.size();
        counters_->add(counter::log_lines_held_back, 1 + troubled.size());
        return;
    }
    log_request(of, name, status, now);
    for (const auto* one : troubled) {
        log_part(of, *one);
    }
}

auto request_log::tell_held_back(time_point now) -> void
{
    if (held_back_ == 0 || now - told_ < held_back_interval) {
        return;
    }
    log_line.info("Lines held back.", {{"count", std::to_string(held_back_)}});
    held_back_ = 0;
    told_ = now;
}

} // namespace knapweedchute
