#pragma once

#include <knapweedchute/usage/usage_statement.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

namespace knapweedchute {

/// \brief Counts of runs by source, window and workspace, joined by taking the greatest of each.
/// \detail A source's counts only grow, so statements may arrive repeated, reordered and late. When
///         there are more rows than allowed, those of the oldest window go.
class usage_ledger
{
public:
    /// \param own      Source whose runs are counted here.
    /// \param max_rows Rows that are kept at most.
    usage_ledger(usage_source own, std::size_t max_rows);

    /// \brief Counts one run of the own source.
    /// \returns Whether the window is open.
    auto add(usage_window window, std::string_view workspace) -> bool;

    /// \brief Joins what another source has counted.
    /// \param latest Latest window that can have begun; rows of later ones are left out.
    auto merge(const usage_statement& statement, usage_window latest) -> void;

    /// \brief Forgets all windows up to one; nothing is counted in them any more.
    auto close_through(usage_window window) -> void;

    /// \brief Returns own rows that changed after a change, the earliest changes first.
    [[nodiscard]] auto changes_after(std::uint64_t change) const -> usage_statement;

    /// \brief Returns the earliest window with counts.
    [[nodiscard]] auto first_window() const -> std::optional<usage_window>;

    /// \brief Returns the counts of a window over all sources.
    [[nodiscard]] auto totals(usage_window window) const -> usage_counts;

    /// \brief Returns the number of windows with counts.
    [[nodiscard]] auto window_count() const noexcept -> std::size_t { return windows_.size(); }

    /// \brief Returns how many rows were dropped for lack of room.
    [[nodiscard]] auto rows_dropped() const noexcept -> std::uint64_t { return rows_dropped_; }

private:
    struct entry
    {
        std::uint64_t count = 0;
        std::uint64_t change = 0; ///< Number of its latest change.
    };
    using key = std::pair<usage_source, std::string>; ///< Source and workspace.

    /// \returns The row, made if there was none; null if the window alone has all rows allowed.
    [[nodiscard]] auto row(usage_window window, const usage_source& source,
                           std::string_view workspace) -> entry*;
    auto drop_excess() -> void;

    usage_source own_;
    std::size_t max_rows_;
    std::map<usage_window, std::map<key, entry>> windows_;
    std::optional<usage_window> closed_; ///< Latest closed window.
    std::size_t rows_ = 0;
    std::uint64_t changes_ = 0;
    std::uint64_t rows_dropped_ = 0;
};

} // namespace knapweedchute
