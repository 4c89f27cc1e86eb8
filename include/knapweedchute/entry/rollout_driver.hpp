#pragma once

#include <knapweedchute/entry/record_writer.hpp>
#include <knapweedchute/net/peer_port.hpp>
#include <knapweedchute/relay/timer_queue.hpp>
#include <knapweedchute/rollout/rollout_controller.hpp>

#include <cstddef>
#include <map>
#include <string>

namespace knapweedchute {

/// \brief Periodically advances rollouts, sends their evidence to peers and stores their records.
///
/// \detail Instances write a pending record one after another, so that usually only one of them
///         makes the call to the store. Each waits in proportion to its rank: the number of other
///         serving instances that precede it in the order of instance names.
class rollout_driver
{
public:
    rollout_driver(timer_queue& timers, rollout_controller& controller, peer_port& peers);

    /// \brief Starts advancing rollouts.
    /// \param writer Stores records; must outlive the driver.
    auto start(record_writer& writer) -> void;

private:
    auto advance() -> void;
    auto write_pending_records() -> void;
    [[nodiscard]] auto rank() const -> std::size_t;

    timer_queue* timers_;
    rollout_controller* controller_;
    peer_port* peers_;
    record_writer* writer_ = nullptr;
    std::map<std::string, time_point> last_writes_; ///< Latest write by service.
};

} // namespace knapweedchute
