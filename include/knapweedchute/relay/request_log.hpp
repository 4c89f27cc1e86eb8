#pragma once

#include <knapweedchute/core/counter_set.hpp>
#include <knapweedchute/core/line_budget.hpp>
#include <knapweedchute/relay/impl/relay_call.hpp>
#include <knapweedchute/zoning/zone_spill.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace knapweedchute {

/// \brief Why a request is logged.
enum class log_reason : std::uint8_t
{
    failed,   ///< It ended with a status of 500 or more.
    partial,  ///< Shards are missing from its answer.
    rejected, ///< It was rejected before any part was sent.
    late,     ///< It was answered after the route's latency goal.
    sampled,  ///< It succeeded and belongs to the sample.
    none      ///< It is not logged.
};

/// \brief Logs how requests ended and why, at a limited rate.
///
/// \detail A request has one line, and one more for each part that failed or was sent more than
///         once, with the steps taken. Successful requests are sampled by a hash of their id, so
///         that all instances log the same ones. Lines over the limit are counted, and their
///         number is logged.
class request_log
{
public:
    explicit request_log(counter_set& counters) : counters_{&counters} {}

    /// \brief Logs a request that ended at `now`, if it has a reason and the limit allows.
    auto on_end(const impl::relay_call& call, unsigned status, time_point now) -> void;

    /// \brief Logs a request that was rejected before any part was sent, if the limit allows.
    /// \param reason      Reason that the caller is told.
    /// \param verdict     Decision and its inputs; a default one if it was not decided by load.
    /// \param retry_after Time after which the caller is told to return.
    auto on_reject(const impl::relay_call& call, std::string_view reason,
                   const admission_verdict& verdict, duration retry_after, time_point now) -> void;

    /// \brief Logs a request for which a configuration has no route, if the limit allows.
    /// \param version Version of the configuration.
    /// \param age     Time since all changes of it were last known to be here; nothing: never.
    auto on_no_route(const relayed_request& request, std::uint64_t version,
                     std::optional<duration> age, time_point now) -> void;

    /// \brief Logs a request that arrived before any configuration, if the limit allows.
    auto on_no_configuration(const relayed_request& request, time_point now) -> void;

    /// \brief Logs that leaving the own availability zone begins or ends, if the limit allows.
    auto on_zone_change(const zone_change& change, time_point now) -> void;

    /// \brief Returns why a request that ended at `now` is logged.
    [[nodiscard]] static auto reason_of(const impl::relay_call& call, unsigned status,
                                        time_point now) -> log_reason;

private:
    auto log_held_back(time_point now) -> void;
    [[nodiscard]] auto take_lines(log_reason reason, std::size_t lines, time_point now) -> bool;
    [[nodiscard]] auto take_route_line(time_point now) -> bool;
    auto hold_back(std::size_t lines) -> void;

    counter_set* counters_;
    line_budget budget_{lines_per_second, burst_lines};
    /// Refusals that tell which configuration is in force; failures must not crowd them out.
    line_budget route_budget_{route_lines_per_second, burst_route_lines};
    line_budget zone_budget_{zone_lines_per_second, burst_zone_lines};
    std::uint64_t held_back_ = 0;
    time_point held_back_logged_at_;

    static constexpr auto route_lines_per_second = 5.0;
    static constexpr auto burst_route_lines = 60.0;
    static constexpr auto zone_lines_per_second = 0.1;
    static constexpr auto burst_zone_lines = 8.0;
    /// Sustained rate; 20 lines per second raised the cost of decisions by up to 6.5 percent.
    static constexpr auto lines_per_second = 10.0;
    /// Lines at once; large, because the first seconds of a fault are the most useful to read.
    static constexpr auto burst_lines = 200.0;
};

} // namespace knapweedchute
