#include "request_load.hpp"

#include "case_report.hpp"

#include <algorithm>

namespace knapweedchute::bench {
namespace {

constexpr auto report_interval = milliseconds{500};
constexpr auto most_queries = std::size_t{100'000};
constexpr auto most_worth = 10;

auto baseline_policy() -> request_policy
{
    auto policy = request_policy{};
    policy.hedge = false;
    policy.eject = false;
    policy.limit_cold = false;
    policy.extra_ratio = 0.0;
    policy.extra_burst = 0.0;
    policy.max_attempts = 1;
    return policy;
}

} // namespace

request_load::request_load(const request_load_options& options)
    : options_{options}, random_{options.seed}, driver_{options.seed}
{
    const auto policy = options.baseline ? baseline_policy() : request_policy{};
    service_ = add_service(driver_, options.shards, options.replicas, options.model);
    const auto zones = std::vector<std::string>{"a", "b", "c"};
    for (auto index = std::size_t{0}; index < options.instances; ++index) {
        driver_.add_instance("entry-" + std::to_string(index), zones[index % zones.size()], policy,
                             options.baseline);
        admissions_.push_back(
            std::make_unique<admission_control>(most_queries, options.seed + index));
    }
    driver_.targets_cancel = true;
    configure({});
    driver_.report_all();
    driver_.advance(policy.share_hold);
}

auto request_load::run(duration time) -> void
{
    const auto end = driver_.now() + time;
    auto next_report = driver_.now();
    auto gap = std::exponential_distribution<double>{options_.rate};
    while (driver_.now() < end) {
        const auto wait = std::chrono::duration<double>(gap(random_));
        driver_.advance(std::chrono::duration_cast<duration>(wait));
        if (driver_.now() >= next_report) {
            driver_.report_all();
            next_report = driver_.now() + report_interval;
        }
        offer();
    }
}

auto request_load::clear() -> void
{
    driver_.results().clear();
    fed_ = 0;
    offered_worth_ = 0.0;
    const auto& counters = driver_.counters();
    parts_before_ = counters.value(counter::parts_sent);
    extra_before_ = counters.value(counter::parts_hedged) + counters.value(counter::parts_retried);
    for (auto& [where, target] : driver_.targets()) {
        target.over_bearing = 0;
    }
}

auto request_load::configure(const std::set<std::string>& zones_out) -> void
{
    driver_.configure(service_, zones_out);
}

auto request_load::latency_ms(double part) -> double
{
    auto values = std::vector<double>{};
    for (const auto& ended : driver_.results()) {
        values.push_back(
            std::chrono::duration<double, std::milli>(ended.ended - ended.started).count());
    }
    return quantile(std::move(values), part);
}

auto request_load::coverage() -> double
{
    auto answered_shards = 0.0;
    auto shards = 0.0;
    for (const auto& ended : driver_.results()) {
        const auto* answer = std::get_if<query_answer>(&ended.result);
        answered_shards += answer == nullptr ? 0.0 : answer->answered;
        shards += options_.shards;
    }
    return shards == 0.0 ? 0.0 : answered_shards / shards;
}

auto request_load::answered_worth() -> double
{
    auto worth = 0.0;
    for (const auto& ended : driver_.results()) {
        const auto* answer = std::get_if<query_answer>(&ended.result);
        const auto whole = answer != nullptr && answer->missing.empty();
        worth += whole && ended.ended <= ended.deadline ? ended.worth : 0.0;
    }
    return worth;
}

auto request_load::accepted_in_time_share() -> double
{
    auto in_time = 0.0;
    for (const auto& ended : driver_.results()) {
        const auto* answer = std::get_if<query_answer>(&ended.result);
        const auto whole = answer != nullptr && answer->missing.empty();
        in_time += whole && ended.ended <= ended.deadline ? 1.0 : 0.0;
    }
    const auto accepted = static_cast<double>(driver_.results().size());
    return accepted == 0.0 ? 1.0 : in_time / accepted;
}

auto request_load::extra_load() const -> double
{
    const auto& counters = driver_.counters();
    const auto extra = counters.value(counter::parts_hedged) +
                       counters.value(counter::parts_retried) - extra_before_;
    const auto sent = counters.value(counter::parts_sent) - parts_before_;
    return static_cast<double>(extra) /
           static_cast<double>(std::max<std::uint64_t>(sent - extra, 1));
}

auto request_load::over_bearing() -> double
{
    auto count = 0.0;
    for (const auto& [where, target] : driver_.targets()) {
        count += static_cast<double>(target.over_bearing);
    }
    return count;
}

auto request_load::answered() -> double
{
    const auto& results = driver_.results();
    return static_cast<double>(std::count_if(results.begin(), results.end(), [](const auto& ended) {
        return std::holds_alternative<query_answer>(ended.result);
    }));
}

auto request_load::offer() -> void
{
    const auto instance = random_() % options_.instances;
    auto draw = std::uniform_int_distribution<int>{1, most_worth};
    const auto worth = static_cast<double>(draw(random_));
    offered_worth_ += worth;
    if (options_.admission) {
        feed_admission();
        auto& admission = *admissions_[instance];
        const auto running = driver_.coordinator(instance).queries_in_progress();
        if (!admission.admit(worth, running, driver_.now())) {
            return;
        }
    }
    driver_.search(instance, options_.deadline, worth);
}

auto request_load::feed_admission() -> void
{
    const auto& results = driver_.results();
    for (; fed_ < results.size(); ++fed_) {
        admissions_[results[fed_].instance]->on_finished(options_.deadline);
    }
}

} // namespace knapweedchute::bench
