#pragma once

#include <knapweedchute/relay/exchange_result.hpp>
#include <knapweedchute/target/target_record.hpp>

#include <cstdint>
#include <memory>
#include <string_view>

namespace knapweedchute::impl {

/// \brief A step in the processing of one part of a request.
enum class trace_step : std::uint8_t
{
    send,      ///< Sent for the first time.
    hedge,     ///< Sent to a second target while the first is pending.
    retry,     ///< Sent again after a failure.
    wait,      ///< No target has capacity now; the part waits.
    no_target, ///< No target is usable.
    end        ///< An exchange ended without a useful answer.
};

/// \brief Returns the name of a step for logs.
[[nodiscard]] auto to_string(trace_step step) noexcept -> std::string_view;

/// \brief One step and the state it was based on.
struct trace_entry
{
    duration elapsed{0};                         ///< Time since the request was read.
    trace_step step = trace_step::send;          ///< Kind of step.
    std::shared_ptr<const target_record> target; ///< Target concerned, or null.
    double cost = 0.0;                           ///< Expected cost of the target, for sends.
    std::size_t usable = 0;                      ///< Number of usable targets at that time.
    exchange_status end_status = exchange_status::unknown; ///< Status of the exchange, for `end`.
    unsigned http_status = 0;                              ///< HTTP status or 0, for `end`.
};

} // namespace knapweedchute::impl
