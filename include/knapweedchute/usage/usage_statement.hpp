#pragma once

#include <knapweedchute/membership/member.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief Number of a window of true time, counted from the start of 1970.
using usage_window = std::int64_t;

/// \brief Runs by name of the workspace.
using usage_counts = std::map<std::string, std::uint64_t>;

/// \brief One run of an instance's process.
struct usage_source
{
    std::string instance;          ///< Name of the instance.
    std::uint64_t incarnation = 0; ///< Number of its start.

    [[nodiscard]] auto operator<=>(const usage_source&) const = default;
};

/// \brief All runs that a source has counted for a workspace in a window, so far.
struct usage_row
{
    usage_window window = 0;
    std::string workspace;
    std::uint64_t count = 0;

    [[nodiscard]] auto operator==(const usage_row&) const -> bool = default;
};

/// \brief What an instance tells a peer of its counts; repeats and reordering do no harm.
struct usage_statement
{
    usage_source source;
    std::int64_t unix_ms = 0;    ///< True time when it was sent, as the source knows it.
    std::uint64_t change = 0;    ///< Number of the latest change among the rows.
    std::vector<usage_row> rows; ///< Rows that changed, with their whole counts.
};

/// \brief Rows that fit in one statement.
inline constexpr auto max_statement_rows = std::size_t{2'000};

/// \brief Bytes of rows that fit in one statement; peers take in `caller_limits::body_bytes`.
inline constexpr auto max_statement_bytes = std::size_t{200'000};

/// \brief Maximum length in bytes of a workspace's name in a statement.
inline constexpr auto max_workspace_name_bytes = std::size_t{256};

/// \brief Returns the bytes of a row in a statement.
[[nodiscard]] inline auto encoded_bytes(const usage_row& row) -> std::size_t
{
    return sizeof(std::uint32_t) + row.workspace.size() + sizeof(row.window) + sizeof(row.count);
}

template <typename Archive>
auto save(Archive& archive, const usage_statement& value) -> void
{
    save_bounded(archive, value.source.instance);
    archive(value.source.incarnation, value.unix_ms, value.change,
            static_cast<std::uint32_t>(value.rows.size()));
    for (const auto& row : value.rows) {
        save_bounded(archive, row.workspace);
        archive(row.window, row.count);
    }
}

template <typename Archive>
auto load(Archive& archive, usage_statement& value) -> void
{
    auto rows = std::uint32_t{0};
    load_bounded(archive, value.source.instance, max_member_name_bytes);
    archive(value.source.incarnation, value.unix_ms, value.change, rows);
    if (rows > max_statement_rows) {
        throw cereal::Exception{"too many rows"};
    }
    value.rows.resize(rows);
    for (auto& row : value.rows) {
        load_bounded(archive, row.workspace, max_workspace_name_bytes);
        archive(row.window, row.count);
    }
}

} // namespace knapweedchute
