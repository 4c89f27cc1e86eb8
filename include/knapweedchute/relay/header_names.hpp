#pragma once

#include <string>

namespace knapweedchute {

/// \brief Names of the HTTP headers exchanged with callers and targets.
/// \detail Set once at start; no other component contains an installation's header names.
struct header_names
{
    std::string request_id;      ///< Id of a caller's attempt.
    std::string deadline;        ///< Milliseconds that the sender waits for the answer.
    std::string expected_target; ///< Id of the only target that may run the request.
    std::string not_run;         ///< Present if the request did not run.
    std::string proof;           ///< Proof that a target issues for its answer.
    std::string proofs;          ///< Proofs of all parts in a query's answer.
    std::string missing;         ///< Number of shards missing from a query's answer.
    std::string leaving = {};    ///< Present in the answers of a target that is shutting down.
    std::string workspace = {};  ///< Name of the workspace that a request belongs to.
};

} // namespace knapweedchute
