#include <knapweedchute/core/log.hpp>
#include <knapweedchute/runtime/store_agent.hpp>

#include <algorithm>

namespace knapweedchute {
namespace {

constexpr auto call_timeout = milliseconds{1'000};
constexpr auto attempts_per_call = std::size_t{1};
constexpr auto max_backoff_doublings = std::size_t{2};
const auto log_line = logger{"store"};

} // namespace

store_agent::store_agent(const settings& values, configuration_holder& holder, peer_agent& peers,
                         rollout_agent& rollouts, counter_set& counters, std::uint64_t seed)
    : settings_{values}, holder_{&holder}, peers_{&peers}, rollouts_{&rollouts},
      counters_{&counters}, key_value_store_{values.platform_address, call_timeout, counters},
      configuration_store_{key_value_store_, attempts_per_call}, random_{seed}
{
}

store_agent::~store_agent()
{
    {
        const auto lock = std::lock_guard{mutex_};
        stopping_ = true;
    }
    wake_.notify_all();
    if (thread_.joinable()) {
        thread_.join();
    }
}

auto store_agent::start() -> void
{
    thread_ = std::thread{[this] { run(); }};
}

auto store_agent::run() -> void
{
    auto failures = std::size_t{0};
    auto lock = std::unique_lock{mutex_};
    while (!stopping_) {
        lock.unlock();
        const auto should_read = peers_->reads_store() || holder_->version() == 0;
        const auto succeeded = !should_read || read_configuration();
        if (should_read && succeeded) {
            record_rollouts();
        }
        failures = succeeded ? 0 : failures + 1;
        lock.lock();
        wake_.wait_for(lock, next_delay(failures), [this] { return stopping_; });
    }
}

auto store_agent::read_configuration() -> bool
{
    const auto requested_at = steady_clock::now();
    auto reason = error{};
    const auto head = configuration_store_.read_head(reason);
    if (!head) {
        log_line.warning("Store not readable.", {{"reason", to_string(reason)}});
        return false;
    }
    if (head->version < holder_->version()) {
        counters_->add(counter::configurations_refused);
        log_line.warning("Store returned an older version than the active one.",
                         {{"version", std::to_string(head->version)}});
        return true;
    }
    if (head->version > holder_->version()) {
        auto file = configuration_store_.read_file(*head, reason);
        if (!file) {
            log_line.warning("Configuration file not readable.", {{"reason", to_string(reason)}});
            return false;
        }
        holder_->adopt(std::move(*file));
        peers_->publish_configuration();
    }
    holder_->on_store_read(head->version, requested_at);
    return true;
}

auto store_agent::record_rollouts() -> void
{
    for (const auto& report : rollouts_->pending_reports()) {
        record_report(report);
    }
}

auto store_agent::record_report(const rollout_report& report) -> void
{
    auto reason = error{};
    const auto key = report_key(report.rollout);
    if (key_value_store_.compare_and_swap(key, 0, encode_report(report), reason)) {
        log_line.info("Rollout ended.", {{"service", report.service},
                                         {"version", report.version},
                                         {"result", std::string{to_string(report.result)}},
                                         {"fault", std::string{to_string(report.fault)}}});
        rollouts_->on_recorded(report.rollout, report.result);
        return;
    }
    // Another instance recorded its report first, or this instance did and lost the response.
    // In both cases the stored report is the result.
    const auto stored = key_value_store_.read(key, reason);
    if (stored && stored->revision != 0) {
        rollouts_->on_recorded(report.rollout, decode_report_result(stored->value));
    }
}

auto store_agent::next_delay(std::size_t failures) -> milliseconds
{
    const auto doublings = std::min(failures, max_backoff_doublings);
    const auto max_delay_ms = settings_.store_period.count() * (std::int64_t{1} << doublings);
    auto jitter = std::uniform_int_distribution<std::int64_t>{max_delay_ms * 3 / 4, max_delay_ms};
    return milliseconds{jitter(random_)};
}

} // namespace knapweedchute
