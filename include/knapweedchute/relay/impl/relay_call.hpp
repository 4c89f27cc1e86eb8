#pragma once

#include <knapweedchute/relay/exchange_port.hpp>
#include <knapweedchute/relay/impl/trace_entry.hpp>
#include <knapweedchute/relay/relayed_answer.hpp>
#include <knapweedchute/relay/relayed_request.hpp>
#include <knapweedchute/relay/timer_queue.hpp>
#include <knapweedchute/route/route_table.hpp>

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
    std::string service;                    ///< Service that answers it.
    std::vector<std::string> tried;         ///< Ids of targets that may have got it.
    std::map<exchange_id, time_point> live; ///< Exchanges in progress and when they were sent.
    std::size_t unsent = 0;                 ///< Sends that never left this instance.
    bool waiting = false;                   ///< Waits for a connection.
    bool failed = false;                    ///< Given up.
    std::optional<exchange_end> last_end;   ///< How its latest exchange ended.
    bool may_have_run = false;              ///< Some target may have worked on it.
    std::optional<relayed_answer> answer;   ///< Useful answer.
    std::optional<relayed_answer> failure;  ///< Latest failure that a target told.
    std::vector<trace_entry> steps;         ///< What was done and why, for the log.

    [[nodiscard]] auto done() const noexcept -> bool { return failed || answer.has_value(); }
};

/// \brief One caller's request in progress.
struct relay_call
{
    std::uint64_t id = 0;                        ///< Number of the call in this process.
    std::shared_ptr<const route_table> table;    ///< Version it was admitted under.
    const route* way = nullptr;                  ///< Its route, owned by the table.
    relayed_request request;                     ///< What the caller sent.
    std::function<void(relayed_answer)> respond; ///< Takes the final answer, once.
    std::vector<call_part> parts;                ///< One per shard, or one.
    time_point started;                          ///< When it was read.
    time_point deadline;                         ///< When an answer must leave.
    timer_id straggler_timer = 0;                ///< Next look for stragglers.
    timer_id goal_timer = 0;                     ///< End of the route's latency goal.
    timer_id deadline_timer = 0;                 ///< End of the time.
    int straggler_checks = 0;                    ///< Looks so far.
    bool past_goal = false;                      ///< Least coverage now ends it.
    bool ended = false;                          ///< Answered, or its caller has left.
};

} // namespace knapweedchute::impl
