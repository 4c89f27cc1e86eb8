#include <knapweedchute/entry/rollout_driver.hpp>

#include <algorithm>
#include <chrono>

namespace knapweedchute {
namespace {

/// Well below the time limit for stopping a bad version on all instances, which also covers the
/// exchange of evidence between them.
constexpr auto advance_interval = milliseconds{200};
/// Delay between the writes of consecutive ranks; a written record reaches the next instance
/// within it.
constexpr auto rank_delay = milliseconds{700};
/// Instances of this and any higher rank write at the same time.
constexpr auto max_rank = std::size_t{4};
/// Time after which a written record that is still pending is written again.
constexpr auto retry_interval = milliseconds{2'000};

auto unix_now_ms() -> std::int64_t
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(since_epoch).count();
}

} // namespace

rollout_driver::rollout_driver(timer_queue& timers, rollout_controller& controller,
                               peer_port& peers)
    : timers_{&timers}, controller_{&controller}, peers_{&peers}
{
}

auto rollout_driver::start(record_writer& writer) -> void
{
    writer_ = &writer;
    peers_->on_evidence([this](const auto& rows) {
        if (!controller_->idle()) {
            controller_->merge_evidence(rows);
        }
    });
    advance();
}

auto rollout_driver::advance() -> void
{
    const auto now = timers_->now();
    if (!controller_->idle()) {
        controller_->advance(now, unix_now_ms());
        peers_->send_evidence(controller_->next_rows(max_evidence_rows));
        write_pending_records();
    }
    timers_->at(now + advance_interval, [this] { advance(); });
}

auto rollout_driver::write_pending_records() -> void
{
    const auto now = timers_->now();
    const auto delay = std::min(rank(), max_rank) * rank_delay;
    for (const auto& [service, record, since] : controller_->pending_records()) {
        const auto last_write = last_writes_.find(service);
        const auto recently_written =
            last_write != last_writes_.end() && now - last_write->second < retry_interval;
        if (now - since >= delay && !recently_written) {
            last_writes_[service] = now;
            writer_->write(service, record);
        }
    }
}

auto rollout_driver::rank() const -> std::size_t
{
    const auto members = peers_->members();
    const auto& self = peers_->self();
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [&](const auto& other) {
            return other.serving() && other.instance < self.instance;
        }));
}

} // namespace knapweedchute
