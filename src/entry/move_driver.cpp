#include <knapweedchute/entry/move_driver.hpp>

#include <algorithm>
#include <chrono>

namespace knapweedchute {
namespace {

/// Well within the time in which a bad version must get nothing more, spread included.
constexpr auto advance_interval = milliseconds{200};
/// Between the turns of two instances: an offered record is heard by then.
constexpr auto turn_interval = milliseconds{700};
/// Turns that are told apart; later ones offer together.
constexpr auto most_turns = std::size_t{4};
/// Until a record that was offered and not heard is offered once more.
constexpr auto offer_again_after = milliseconds{2'000};

auto unix_now() -> std::int64_t
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(since).count();
}

} // namespace

move_driver::move_driver(timer_queue& timers, move_keeper& moves, peer_port& peers)
    : timers_{&timers}, moves_{&moves}, peers_{&peers}
{
}

auto move_driver::start(record_writer& writer) -> void
{
    writer_ = &writer;
    peers_->on_evidence([this](const auto& rows) {
        if (!moves_->idle()) {
            moves_->merge(rows);
        }
    });
    advance();
}

auto move_driver::advance() -> void
{
    const auto now = timers_->now();
    if (!moves_->idle()) {
        moves_->advance(now, unix_now());
        peers_->tell_evidence(moves_->next_rows(most_evidence_rows));
        offer_records();
    }
    timers_->at(now + advance_interval, [this] { advance(); });
}

auto move_driver::offer_records() -> void
{
    const auto now = timers_->now();
    const auto turn = std::min(rank(), most_turns) * turn_interval;
    for (const auto& [service, record, since] : moves_->wanted()) {
        const auto last = offered_.find(service);
        const auto waits = last != offered_.end() && now - last->second < offer_again_after;
        if (now - since >= turn && !waits) {
            offered_[service] = now;
            writer_->write(service, record);
        }
    }
}

auto move_driver::rank() const -> std::size_t
{
    const auto members = peers_->members();
    const auto& self = peers_->self();
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [&](const auto& other) {
            return other.serving() && other.instance < self.instance;
        }));
}

} // namespace knapweedchute
