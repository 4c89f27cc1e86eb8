#pragma once

#include "exit_code.hpp"

#include <string>
#include <vector>

namespace knapweedchute::ctl {

/// \brief Log lines to read, and the request to explain.
struct explain_arguments
{
    std::string request;            ///< Identity of the request.
    std::vector<std::string> files; ///< Logs of instances; none: standard input.
};

/// \brief Prints the way of one request, and what its instance believed when it ended.
/// \returns `bad_input` if a file can not be read, `refused` if no line names the request.
[[nodiscard]] auto explain(const explain_arguments& wanted, bool json) -> exit_code;

} // namespace knapweedchute::ctl
