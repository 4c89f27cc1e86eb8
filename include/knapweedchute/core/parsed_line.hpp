#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace knapweedchute {

/// \brief A line of a log, taken apart.
struct parsed_line
{
    std::string time;     ///< As written; sorts by its text. Empty if the line has none.
    std::string part;     ///< Prefix of the part that wrote it.
    std::string sentence; ///< What happened.
    std::vector<std::pair<std::string, std::string>> fields; ///< In the order written.

    /// \brief Value of a field; empty if there is none.
    [[nodiscard]] auto value(std::string_view key) const -> std::string;

    [[nodiscard]] auto operator==(const parsed_line&) const -> bool = default;
};

/// \brief Takes a line apart; what a collector puts before the time is passed over.
/// \returns Nothing if it is no line of this project.
[[nodiscard]] auto parse_line(std::string_view text) -> std::optional<parsed_line>;

} // namespace knapweedchute
