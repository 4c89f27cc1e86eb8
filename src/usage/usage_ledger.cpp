#include <knapweedchute/usage/usage_ledger.hpp>

#include <algorithm>
#include <utility>

namespace knapweedchute {

usage_ledger::usage_ledger(usage_source own, std::size_t max_rows)
    : own_{std::move(own)}, max_rows_{max_rows}
{
}

auto usage_ledger::row(usage_window window, const usage_source& source, std::string_view workspace)
    -> entry*
{
    auto& rows = windows_[window];
    const auto [found, inserted] = rows.try_emplace({source, std::string{workspace}}, entry{});
    if (inserted && rows.size() > max_rows_) {
        rows.erase(found);
        ++rows_dropped_;
        return nullptr;
    }
    rows_ += inserted ? 1 : 0;
    return &found->second;
}

auto usage_ledger::add(usage_window window, std::string_view workspace) -> bool
{
    if (closed_ && window <= *closed_) {
        return false;
    }
    if (auto* const counted = row(window, own_, workspace)) {
        ++counted->count;
        counted->change = ++changes_;
        drop_excess();
    }
    return true;
}

auto usage_ledger::merge(const usage_statement& statement, usage_window latest) -> void
{
    // Own counts come back only from a stranger that bears this instance's name.
    if (statement.source == own_) {
        return;
    }
    for (const auto& stated : statement.rows) {
        if (stated.window > latest || (closed_ && stated.window <= *closed_)) {
            continue;
        }
        if (auto* const known = row(stated.window, statement.source, stated.workspace)) {
            known->count = std::max(known->count, stated.count);
            drop_excess();
        }
    }
}

auto usage_ledger::close_through(usage_window window) -> void
{
    closed_ = std::max(closed_.value_or(window), window);
    while (!windows_.empty() && windows_.begin()->first <= *closed_) {
        rows_ -= windows_.begin()->second.size();
        windows_.erase(windows_.begin());
    }
}

auto usage_ledger::drop_excess() -> void
{
    while (rows_ > max_rows_ && windows_.size() > 1) {
        const auto dropped = windows_.begin()->second.size();
        rows_ -= dropped;
        rows_dropped_ += dropped;
        windows_.erase(windows_.begin());
    }
}

auto usage_ledger::changes_after(std::uint64_t change) const -> usage_statement
{
    auto changed = std::vector<std::pair<std::uint64_t, usage_row>>{};
    for (const auto& [window, rows] : windows_) {
        for (auto at = rows.lower_bound({own_, ""}); at != rows.end() && at->first.first == own_;
             ++at) {
            if (at->second.change > change) {
                changed.push_back(
                    {at->second.change, {window, at->first.second, at->second.count}});
            }
        }
    }
    const auto kept = std::min(changed.size(), max_statement_rows);
    std::partial_sort(changed.begin(), changed.begin() + static_cast<std::ptrdiff_t>(kept),
                      changed.end(),
                      [](const auto& a, const auto& b) { return a.first < b.first; });
    auto statement = usage_statement{own_, 0, change, {}};
    auto bytes = std::size_t{0};
    for (auto index = std::size_t{0}; index < kept; ++index) {
        bytes += encoded_bytes(changed[index].second);
        if (bytes > max_statement_bytes) {
            break;
        }
        statement.change = changed[index].first;
        statement.rows.push_back(std::move(changed[index].second));
    }
    return statement;
}

auto usage_ledger::first_window() const -> std::optional<usage_window>
{
    return windows_.empty() ? std::nullopt : std::optional{windows_.begin()->first};
}

auto usage_ledger::totals(usage_window window) const -> usage_counts
{
    auto counts = usage_counts{};
    if (const auto found = windows_.find(window); found != windows_.end()) {
        for (const auto& [source, counted] : found->second) {
            counts[source.second] += counted.count;
        }
    }
    return counts;
}

} // namespace knapweedchute
