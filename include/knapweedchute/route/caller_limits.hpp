#pragma once

#include <knapweedchute/core/time.hpp>

#include <cstddef>

namespace knapweedchute {

/// \brief Size and time limits of callers' requests; part of a route table.
struct caller_limits
{
    std::size_t header_bytes = 16'384;  ///< Request line and headers, bytes.
    std::size_t body_bytes = 262'144;   ///< Body after decoding, bytes.
    milliseconds header_timeout{3'000}; ///< From a request's first byte to its last header.
    milliseconds idle_timeout{15'000};  ///< Between two requests, and between two reads.

    [[nodiscard]] auto operator==(const caller_limits&) const -> bool = default;
};

} // namespace knapweedchute
