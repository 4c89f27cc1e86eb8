#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/usage/duty_holder.hpp>
#include <knapweedchute/usage/usage_ledger.hpp>
#include <knapweedchute/usage/window_clock.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace knapweedchute {

/// \brief What the holder does next for the reports.
struct report_step
{
    /// \brief Kinds of steps, in their order for one window.
    enum class kind : std::uint8_t
    {
        none,  ///< Nothing now.
        store, ///< Write the content of a window into the store, if it has none.
        send,  ///< Send the content to the platform.
        close  ///< Write into the store that the window is reported.
    };

    kind what = kind::none;
    usage_window window = 0;
    std::string content;              ///< Text of the report, for `store` and `send`.
    std::uint64_t done_revision = 0;  ///< Revision of the mark of reported windows; 0: no mark.
    std::vector<usage_window> remove; ///< Windows whose contents go, for `close`.
};

/// \brief Times of reports.
struct report_limits
{
    milliseconds settle{3'000}; ///< From the end of a window until its counts are taken.
    milliseconds pause{20};     ///< Between two calls to the platform.
    milliseconds retry{500};    ///< Pause after a call that failed.
};

/// \brief Decides what is reported when, oldest windows first; makes no call itself.
/// \detail A window's content is in the store before it is sent. From then on every holder sends
///         that text, so that there are no two contents for a window.
class usage_reporter
{
public:
    /// \brief Returns the text of a window's report.
    using encoder = std::function<std::string(usage_window, const usage_counts&)>;

    usage_reporter(report_limits limits, encoder encode)
        : limits_{limits}, encode_{std::move(encode)}
    {
    }

    /// \brief Returns the next step; its end must be told before there is another.
    /// \param now Time by a clock that runs while the process is frozen.
    [[nodiscard]] auto next(duration now, const window_clock& clock, const usage_ledger& ledger)
        -> report_step;

    /// \brief Notes the end of the step in progress.
    /// \param revision Revision of the store after `store` or `close`.
    auto on_end(duration now, store_outcome outcome, std::uint64_t revision = 0) -> void;

    /// \brief Notes a window's content that is in the store.
    auto on_content(usage_window window, std::string content) -> void;

    /// \brief Notes the mark in the store: all windows up to one are reported.
    auto on_done(usage_window window, std::uint64_t revision) -> void;

    /// \brief Returns the latest window up to which all are reported.
    [[nodiscard]] auto done() const noexcept -> std::optional<usage_window> { return done_; }

    /// \brief Returns how many contents wait to be sent.
    [[nodiscard]] auto stored_count() const noexcept -> std::size_t { return contents_.size(); }

private:
    [[nodiscard]] auto is_done(usage_window window) const -> bool
    {
        return done_ && window <= *done_;
    }

    report_limits limits_;
    encoder encode_;
    std::map<usage_window, std::string> contents_; ///< Contents in the store, not reported yet.
    std::vector<usage_window> leftovers_; ///< Reported windows whose contents may be in the store.
    std::optional<usage_window> done_;
    std::uint64_t done_revision_ = 0;
    std::optional<usage_window> sent_; ///< Window that the platform has accepted.
    report_step current_;
    duration not_before_{0};
};

} // namespace knapweedchute
