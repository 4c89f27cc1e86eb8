#pragma once

#include <string>

namespace knapweedchute {

/// \brief Names of the headers that callers, targets and this system agree on.
/// \detail Filled once at start; no other part spells a header name of an installation.
struct header_names
{
    std::string request_id;      ///< Identity of a caller's attempt.
    std::string deadline;        ///< Milliseconds that the sender will wait.
    std::string expected_target; ///< Id of the target that alone may run the request.
    std::string not_run;         ///< Present in answers to requests that did not run.
    std::string proof;           ///< A target's proof of its answer.
    std::string proofs;          ///< Proofs of all parts of a query's answer.
    std::string missing;         ///< Number of shards left out of a query's answer.
};

} // namespace knapweedchute
