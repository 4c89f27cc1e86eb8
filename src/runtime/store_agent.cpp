#include <knapweedchute/core/log.hpp>
#include <knapweedchute/runtime/store_agent.hpp>

#include <algorithm>

namespace knapweedchute {
namespace {

constexpr auto call_timeout = milliseconds{1'000};
constexpr auto tries_per_call = std::size_t{1};
constexpr auto most_backoff_doublings = std::size_t{2};
const auto log_line = logger{"store"};

} // namespace

store_agent::store_agent(const settings& values, configuration_holder& holder, peer_agent& peers,
                         rollout_agent& moves, counter_set& counters, std::uint64_t seed)
    : settings_{values}, holder_{&holder}, peers_{&peers}, moves_{&moves}, counters_{&counters},
      service_{values.platform_address, call_timeout, counters}, store_{service_, tries_per_call},
      random_{seed}
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
    thread_ = std::thread{[this] { loop(); }};
}

auto store_agent::loop() -> void
{
    auto failures = std::size_t{0};
    auto lock = std::unique_lock{mutex_};
    while (!stopping_) {
        lock.unlock();
        const auto wanted = peers_->reads_store() || holder_->version() == 0;
        const auto succeeded = !wanted || read_once();
        if (wanted && succeeded) {
            record_moves();
        }
        failures = succeeded ? 0 : failures + 1;
        lock.lock();
        wake_.wait_for(lock, next_wait(failures), [this] { return stopping_; });
    }
}

auto store_agent::read_once() -> bool
{
    const auto asked = steady_clock::now();
    auto reason = error{};
    const auto head = store_.read_head(reason);
    if (!head) {
        log_line.warning("Store not readable.", {{"reason", to_string(reason)}});
        return false;
    }
    if (head->version < holder_->version()) {
        counters_->add(counter::configurations_refused);
        log_line.warning("Store answered an old version.",
                         {{"version", std::to_string(head->version)}});
        return true;
    }
    if (head->version > holder_->version()) {
        auto file = store_.read_file(*head, reason);
        if (!file) {
            log_line.warning("File not readable.", {{"reason", to_string(reason)}});
            return false;
        }
        holder_->adopt(std::move(*file));
        peers_->spread();
    }
    holder_->on_store_read(head->version, asked);
    return true;
}

auto store_agent::record_moves() -> void
{
    for (const auto& report : moves_->pending_reports()) {
        record(report);
    }
}

auto store_agent::record(const rollout_report& report) -> void
{
    auto reason = error{};
    const auto key = report_key(report.rollout);
    if (service_.compare_and_swap(key, 0, encode_report(report), reason)) {
        log_line.info("Move ended.", {{"service", report.service},
                                      {"version", report.version},
                                      {"result", std::string{to_string(report.result)}},
                                      {"fault", std::string{to_string(report.fault)}}});
        moves_->on_recorded(report.rollout, report.result);
        return;
    }
    // Another instance was first, or this one was and its answer was lost: what is stored counts.
    const auto stored = service_.read(key, reason);
    if (stored && stored->revision != 0) {
        moves_->on_recorded(report.rollout, decode_report_result(stored->value));
    }
}

auto store_agent::next_wait(std::size_t failures) -> milliseconds
{
    const auto doublings = std::min(failures, most_backoff_doublings);
    const auto longest = settings_.store_period.count() * (std::int64_t{1} << doublings);
    auto jitter = std::uniform_int_distribution<std::int64_t>{longest * 3 / 4, longest};
    return milliseconds{jitter(random_)};
}

} // namespace knapweedchute
