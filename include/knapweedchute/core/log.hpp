#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace knapweedchute {

/// \brief Severity of a log line.
enum class log_level
{
    debug,
    info,
    warning,
    error
};

/// \brief Writes the lines of one part of the process, each with the part's prefix.
///
/// \detail A line is a short sentence followed by `key=value` pairs; a value with spaces, quotes
///         or nothing in it is quoted:
/// \code
/// knapweedchute::logger{"config"}.info("Configuration adopted.", {{"version", "7"}});
/// \endcode
class logger
{
public:
    /// \brief Pairs appended to a line.
    using fields = std::initializer_list<std::pair<std::string_view, std::string>>;

    /// \param part Fixed prefix, for example `config`.
    explicit logger(std::string part);

    auto info(std::string_view sentence, fields pairs = {}) const -> void;
    auto warning(std::string_view sentence, fields pairs = {}) const -> void;
    auto failure(std::string_view sentence, fields pairs = {}) const -> void;

private:
    auto write(log_level level, std::string_view sentence, fields pairs) const -> void;

    std::string part_;
};

/// \brief Sends all log lines to standard output, and drops rather than waits for its reader.
/// \param lowest     Lines below this level are not written.
/// \param descriptor Where lines are written instead; stays open.
auto start_logging(log_level lowest, int descriptor = 1) -> void;

/// \brief Lines dropped because the reader of the output was slow.
[[nodiscard]] auto lost_log_lines() -> std::uint64_t;

} // namespace knapweedchute
