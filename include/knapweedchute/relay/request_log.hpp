#pragma once

#include <knapweedchute/core/counter_set.hpp>
#include <knapweedchute/core/line_budget.hpp>
#include <knapweedchute/relay/impl/relay_call.hpp>

#include <cstdint>
#include <string>

namespace knapweedchute {

/// \brief Why a request has lines in the log.
enum class log_reason : std::uint8_t
{
    failed,  ///< It ended with a status of 500 or more.
    partial, ///< Shards are missing from its answer.
    late,    ///< Its answer came after the route's goal.
    sampled, ///< It is one of the few good ones that every instance writes about.
    none     ///< It has no line.
};

/// \brief Writes how requests ended and why, within a bound.
///
/// \detail A request has one line, and one more for each part that was in trouble, with the steps
///         taken and what was known at each. Good requests are sampled by their id, so that all
///         instances keep the same ones. What the bound holds back is counted and told.
class request_log
{
public:
    explicit request_log(counter_set& counters) : counters_{&counters} {}

    /// \brief Notes the end of a request.
    auto on_end(const impl::relay_call& of, unsigned status, time_point now) -> void;

    /// \brief Why a request that ended so is written about.
    [[nodiscard]] static auto reason_of(const impl::relay_call& of, unsigned status, time_point now)
        -> log_reason;

private:
    auto tell_held_back(time_point now) -> void;

    counter_set* counters_;
    line_budget budget_{lines_per_second, burst};
    std::uint64_t held_back_ = 0;
    time_point told_;

    /// Lines of requests in the long run: with 20, decisions cost up to 1.065 times as much as
    /// without lines.
    static constexpr auto lines_per_second = 10.0;
    /// Lines at once: the first seconds of a trouble are the ones to read.
    static constexpr auto burst = 200.0;
};

} // namespace knapweedchute
