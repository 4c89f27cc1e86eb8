#pragma once

#include <knapweedchute/core/time.hpp>

#include <cstdint>
#include <string>

namespace knapweedchute {

/// \brief Idempotent search over all shards of a service.
struct search_request
{
    std::string id;            ///< Id assigned by the caller; repeated in the answer.
    std::string service;       ///< Service to search.
    std::string text;          ///< Search text.
    std::uint32_t top = 0;     ///< Maximum number of hits.
    double answer_value = 0.0; ///< Value of an answer to the caller.
    time_point deadline;       ///< When the answer is no longer needed.

    [[nodiscard]] auto operator==(const search_request&) const -> bool = default;
};

} // namespace knapweedchute
