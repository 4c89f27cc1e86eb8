#pragma once

#include "command_options.hpp"
#include "exit_code.hpp"

#include <cstdint>
#include <string>

namespace knapweedchute::ctl {

/// \brief A search from the command line.
struct query_arguments
{
    std::string service;   ///< Service to search.
    std::string text;      ///< What to search for.
    int top = 5;           ///< Most hits.
    int deadline_ms = 500; ///< Time for the answer.
};

/// \brief A non-idempotent request from the command line.
struct post_arguments
{
    std::string service;     ///< Service that runs it.
    std::string key;         ///< Selects the shard.
    std::string document;    ///< Content.
    int deadline_ms = 1'000; ///< Time for the answer.
};

/// \name One function per command
/// @{
[[nodiscard]] auto check_file(const std::string& path) -> exit_code;
[[nodiscard]] auto apply_file(const command_options& options, const std::string& path,
                              std::uint64_t base) -> exit_code;
[[nodiscard]] auto fetch_file(const command_options& options) -> exit_code;
[[nodiscard]] auto show_status(const command_options& options) -> exit_code;
[[nodiscard]] auto set_zone(const command_options& options, const std::string& zone, bool out)
    -> exit_code;
[[nodiscard]] auto start_move(const command_options& options, const std::string& service,
                              const std::string& version, std::int64_t finish_by_unix_s)
    -> exit_code;
[[nodiscard]] auto abort_move(const command_options& options, const std::string& service)
    -> exit_code;
[[nodiscard]] auto follow_move(const command_options& options, const std::string& service)
    -> exit_code;
[[nodiscard]] auto show_dump(const command_options& options) -> exit_code;
[[nodiscard]] auto show_addresses(const command_options& options) -> exit_code;
[[nodiscard]] auto send_query(const command_options& options, const query_arguments& query)
    -> exit_code;
[[nodiscard]] auto send_post(const command_options& options, const post_arguments& post)
    -> exit_code;
/// @}

} // namespace knapweedchute::ctl
