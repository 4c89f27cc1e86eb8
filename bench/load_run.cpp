#include "load_run.hpp"

#include <knapweedchute/config/object_reader.hpp>

#include <algorithm>
#include <thread>
#include <utility>

namespace knapweedchute::bench {
namespace {

constexpr auto grace = milliseconds{500};
constexpr auto status_ok = 200L;

auto as_ms(duration value) -> double
{
    return std::chrono::duration<double, std::milli>(value).count();
}

} // namespace

auto load_report::quantile(double part) const -> double
{
    if (latencies_ms.empty()) {
        return 0.0;
    }
    const auto last = static_cast<double>(latencies_ms.size() - 1);
    return latencies_ms[static_cast<std::size_t>(last * part)];
}

load_run::load_run(load_options options)
    : options_{std::move(options)}, random_{options_.seed}, started_{steady_clock::now()},
      worker_{[this](time_point now) { return tick(now); }}
{
    if (!options_.history.empty()) {
        history_.open(options_.history);
    }
}

auto load_run::run() -> load_report
{
    while (finished_ < options_.count) {
        std::this_thread::sleep_for(milliseconds{10});
    }
    std::sort(report_.latencies_ms.begin(), report_.latencies_ms.end());
    const auto answered = report_.whole + report_.partial;
    report_.coverage = answered == 0 ? 0.0 : coverage_sum_ / static_cast<double>(answered);
    return report_;
}

auto load_run::tick(time_point now) -> std::optional<time_point>
{
    const auto due_at = [&](std::uint64_t number) {
        const auto offset =
            std::chrono::duration<double>(static_cast<double>(number) / options_.rate);
        return started_ + std::chrono::duration_cast<duration>(offset);
    };
    while (sent_ < options_.count && due_at(sent_) <= now) {
        auto worth = std::uniform_int_distribution<std::int64_t>{1, options_.most_worth};
        auto item = search{};
        item.number = sent_;
        item.worth = worth(random_);
        item.invoked = due_at(sent_);
        item.caller = random_() % options_.callers.size();
        ++sent_;
        report_.offered_worth += static_cast<std::uint64_t>(item.worth);
        send(item);
    }
    return sent_ < options_.count ? std::optional{due_at(sent_)} : std::nullopt;
}

auto load_run::send(search item) -> void
{
    const auto left =
        std::chrono::ceil<milliseconds>(item.invoked + options_.deadline - steady_clock::now());
    const auto id = "load-" + std::to_string(options_.seed) + "-" + std::to_string(item.number);
    const auto body = nlohmann::json{
        {"request_id", id},
        {"service", options_.service},
        {"text", options_.text},
        {"deadline_ms", std::max<std::int64_t>(left.count(), 1)},
        {"worth",
         item.worth}}.dump();
    const auto& caller = options_.callers[item.caller % options_.callers.size()];
    worker_.start({caller, "/v1/query", body, left + grace, false, false},
                  [this, item](const auto& result) { on_result(item, result); });
}

auto load_run::on_result(search item, const transfer_result& result) -> void
{
    const auto now = steady_clock::now();
    const auto spent = now - item.invoked;
    if (result.status != transfer_status::answered) {
        item.tries += 1;
        item.caller += 1;
        if (item.tries < options_.callers.size() && spent < options_.deadline) {
            report_.resent += 1;
            send(item);
            return;
        }
        report_.failed += 1;
        record(item, "none", {});
        return;
    }
    auto reason = error{};
    const auto json = parse_json(result.body, reason);
    if (result.http_status != status_ok || !json) {
        const auto name = json && json->contains("refusal")
                              ? json->at("refusal").get<std::string>()
                              : "status_" + std::to_string(result.http_status);
        report_.refused[name] += 1;
        record(item, name, result.body);
        return;
    }
    const auto& coverage = json->at("coverage");
    const auto answered = coverage.at("answered").get<double>();
    const auto shards = coverage.at("shards").get<double>();
    coverage_sum_ += answered / shards;
    report_.whole += answered == shards ? 1 : 0;
    report_.partial += answered == shards ? 0 : 1;
    report_.late += spent > options_.deadline ? 1 : 0;
    report_.answered_worth +=
        spent > options_.deadline ? 0 : static_cast<std::uint64_t>(item.worth);
    report_.latencies_ms.push_back(as_ms(spent));
    record(item, "answered", result.body);
}

auto load_run::record(const search& item, const std::string& outcome, const std::string& body)
    -> void
{
    if (history_.is_open()) {
        const auto now = steady_clock::now();
        history_ << nlohmann::json{{"number", item.number},
                                   {"invoked_ms", as_ms(item.invoked - started_)},
                                   {"returned_ms", as_ms(now - started_)},
                                   {"outcome", outcome},
                                   {"answer", body}}
                        .dump()
                 << '\n';
    }
    finished_ += 1;
}

} // namespace knapweedchute::bench
