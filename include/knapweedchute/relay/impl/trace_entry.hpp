#pragma once

#include <knapweedchute/relay/exchange_result.hpp>
#include <knapweedchute/target/target_record.hpp>

#include <cstdint>
#include <memory>
#include <string_view>

namespace knapweedchute::impl {

/// \brief What was decided or learned about one part of a request.
enum class trace_step : std::uint8_t
{
    send,      ///< Sent for the first time.
    hedge,     ///< Sent to a second target beside the first.
    retry,     ///< Sent once more after a failure.
    wait,      ///< Targets have no room now.
    no_target, ///< No target may be used.
    end        ///< An exchange has ended.
};

/// \brief Name of a step for logs.
[[nodiscard]] auto to_string(trace_step step) noexcept -> std::string_view;

/// \brief One step with what was known then.
struct trace_entry
{
    duration after{0};                           ///< Since the request was read.
    trace_step step = trace_step::send;          ///< What was done.
    std::shared_ptr<const target_record> target; ///< Target it is about, if any.
    double cost = 0.0;                           ///< Expected cost of the target, for what is sent.
    std::size_t usable = 0;                      ///< Targets that might be used then.
    exchange_end how = exchange_end::unknown;    ///< For `end`.
    unsigned status = 0;                         ///< Status of an answer, for `end`.
};

} // namespace knapweedchute::impl
