#pragma once

#include <knapweedchute/core/time.hpp>

#include <string>

namespace knapweedchute {

/// \brief Non-idempotent request for the shard that its key selects.
struct run_request
{
    std::string id;       ///< Issued request id.
    std::string service;  ///< Service that runs the request.
    std::string key;      ///< Key that selects the shard.
    std::string document; ///< JSON text for the target.
    time_point deadline;  ///< When the answer is no longer needed.

    [[nodiscard]] auto operator==(const run_request&) const -> bool = default;
};

} // namespace knapweedchute
