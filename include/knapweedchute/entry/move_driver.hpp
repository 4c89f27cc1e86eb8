#pragma once

#include <knapweedchute/entry/record_writer.hpp>
#include <knapweedchute/move/move_keeper.hpp>
#include <knapweedchute/net/peer_port.hpp>
#include <knapweedchute/relay/timer_queue.hpp>

#include <cstddef>
#include <map>
#include <string>

namespace knapweedchute {

/// \brief Drives the moves of one instance: advances them, tells peers, has records stored.
///
/// \detail Instances offer a record in turn, by rank, so that mostly one call is made for all.
class move_driver
{
public:
    move_driver(timer_queue& timers, move_keeper& moves, peer_port& peers);

    /// \brief Starts to drive.
    /// \param writer Stores records.
    auto start(record_writer& writer) -> void;

private:
    auto advance() -> void;
    auto offer_records() -> void;
    [[nodiscard]] auto rank() const -> std::size_t;

    timer_queue* timers_;
    move_keeper* moves_;
    peer_port* peers_;
    record_writer* writer_ = nullptr;
    std::map<std::string, time_point> offered_; ///< Latest offer by service.
};

} // namespace knapweedchute
