#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/query/latency_window.hpp>

#include <optional>

namespace knapweedchute {

/// \brief Decides when a slow part is sent to a second replica as a hedge.
///
/// \detail The hedge delay is derived from the recent part latencies of the service. Hedging pauses
///         while slowness is general, that is, while many recent parts reach the delay or the
///         median latency is well above its baseline: hedges would then only add load.
/// \see J. Dean, L. A. Barroso, "The Tail at Scale", CACM 56(2), 2013.
class hedge_policy
{
public:
    /// \param enabled False turns hedging off.
    explicit hedge_policy(bool enabled) noexcept;

    /// \brief Records the latency of an answered part.
    auto on_answer(duration latency) -> void;

    /// \brief Records whether a part was still unanswered after the hedge delay.
    auto on_delay_reached(bool reached) noexcept -> void;

    /// \brief Time after which a part is hedged.
    /// \returns Nothing while hedging is off or too few latencies are recorded.
    [[nodiscard]] auto delay() const noexcept -> std::optional<duration>;

    /// \brief Whether so many parts are slow that hedges would only add load.
    [[nodiscard]] auto slowness_general() const noexcept -> bool;

    /// \brief Latencies of answered parts.
    [[nodiscard]] auto latencies() const noexcept -> const latency_window& { return window_; }

private:
    bool enabled_;
    latency_window window_;
    double reached_share_ = 0.0;
};

} // namespace knapweedchute
