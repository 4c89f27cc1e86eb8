#pragma once

#include <knapweedchute/admission/relay_admission.hpp>
#include <knapweedchute/core/memory_reservation.hpp>
#include <knapweedchute/relay/exchange_port.hpp>
#include <knapweedchute/relay/impl/trace_entry.hpp>
#include <knapweedchute/relay/relayed_answer.hpp>
#include <knapweedchute/relay/relayed_request.hpp>
#include <knapweedchute/relay/timer_queue.hpp>
#include <knapweedchute/route/route_table.hpp>
#include <knapweedchute/workspace/key_authority.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace knapweedchute::impl {

/// \brief The part of a request that goes to one service.
struct call_part
{
    std::string service;                              ///< Service that answers the part.
    std::vector<std::string> tried;                   ///< Ids of targets to which it was sent.
    std::map<exchange_id, time_point> open_exchanges; ///< Exchanges in progress by send time.
    std::size_t unsent = 0;                     ///< Sends of which no byte left this instance.
    bool waiting = false;                       ///< Whether it waits for capacity.
    bool failed = false;                        ///< Whether it was abandoned.
    int rounds = 0;                             ///< Times that rejected sends began anew.
    std::optional<exchange_status> last_status; ///< How its latest exchange ended.
    bool may_have_run = false;                  ///< Whether any target may have run it.
    bool rejected = false;                      ///< Whether a target rejected it as full.
    std::optional<relayed_answer> answer;       ///< Answer that is used.
    std::optional<relayed_answer> failure;      ///< Latest failure that may be passed on.
    std::vector<trace_entry> steps;             ///< Steps taken, for the log.

    [[nodiscard]] auto done() const noexcept -> bool { return failed || answer.has_value(); }
};

/// \brief Stage of a request.
enum class call_stage : std::uint8_t
{
    waiting,  ///< It waits for admission; nothing was sent.
    admitted, ///< Its parts are sent.
    ended     ///< It was answered or cancelled.
};

/// \brief State of one caller's request in progress.
struct relay_call
{
    std::uint64_t id = 0;                        ///< Id of the call, unique in this process.
    std::shared_ptr<const route_table> table;    ///< Route table at admission; kept until the end.
    const route* matched_route = nullptr;        ///< Route of the request, owned by `table`.
    relayed_request request;                     ///< Request of the caller.
    std::string workspace;                       ///< Workspace of the request; empty: none.
    std::optional<key_digest> key;               ///< Key that must be valid at each send.
    std::optional<key_verdict> key_refusal;      ///< Why its key stopped a send.
    std::function<void(relayed_answer)> respond; ///< Receives the final answer; called once.
    std::vector<call_part> parts;                ///< One per shard; a single one for relays.
    std::size_t kept_bytes = 0;                  ///< Bytes of the answers and failures of `parts`.
    std::unique_ptr<memory_reservation> memory;  ///< Reservation of `kept_bytes`, once large.
    admission_request admission;                 ///< The request as seen by admission.
    call_stage stage = call_stage::waiting;      ///< Stage of the request.
    time_point started;                          ///< When the request was read.
    time_point admitted_at;                      ///< When its first part was sent.
    time_point deadline;                         ///< When the answer must be sent.
    timer_id straggler_timer = 0;                ///< Next check for stragglers.
    timer_id goal_timer = 0;                     ///< Fires when the latency goal is about to pass.
    timer_id deadline_timer = 0;                 ///< Fires at `deadline`.
    timer_id wait_timer = 0;                     ///< Fires when it is too late for admission.
    int straggler_checks = 0;                    ///< Straggler checks made so far.
    bool shed = false;                           ///< Whether it was rejected before any send.
    bool past_goal = false;                      ///< Whether minimum coverage is now enough.

    [[nodiscard]] auto ended() const noexcept -> bool { return stage == call_stage::ended; }
};

} // namespace knapweedchute::impl
