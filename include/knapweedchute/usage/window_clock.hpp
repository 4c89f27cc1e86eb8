#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/usage/usage_statement.hpp>

#include <chrono>
#include <map>
#include <string>

namespace knapweedchute {

/// \brief True time from the wall clock at start, the time since then, and the peers' clocks.
/// \detail Later jumps of the own wall clock have no effect. One that was wrong at start is
///         corrected by the median of what the peers state.
class window_clock
{
public:
    /// \param window  Length of a window.
    /// \param unix_ms Wall clock at start.
    /// \param boot    Time since the system started, at the same moment.
    window_clock(milliseconds window, milliseconds unix_ms, duration boot)
        : window_{window}, offset_{unix_ms - std::chrono::floor<milliseconds>(boot)}
    {
    }

    /// \brief Returns the true time.
    [[nodiscard]] auto unix_at(duration boot) const -> milliseconds
    {
        return std::chrono::floor<milliseconds>(boot) + offset_;
    }

    /// \brief Returns the window at a time.
    [[nodiscard]] auto window_at(duration boot) const -> usage_window
    {
        return unix_at(boot) / window_;
    }

    /// \brief Returns the true time at which a window ends.
    [[nodiscard]] auto end_of(usage_window window) const -> milliseconds
    {
        return window_ * (window + 1);
    }

    /// \brief Notes the time that a peer states.
    auto on_statement(const std::string& peer, milliseconds unix_ms, duration boot) -> void;

    /// \brief Returns the true time as the median of all clocks, this one included.
    [[nodiscard]] auto agreed_at(duration boot) const -> milliseconds;

    /// \brief Takes over a time on which the instances agree, if this one is well off it.
    auto correct(milliseconds agreed, duration boot) -> void;

private:
    milliseconds window_;
    milliseconds offset_; ///< From the time since the system started to true time.
    std::map<std::string, milliseconds> peer_offsets_; ///< Offsets that the peers have.
};

} // namespace knapweedchute
