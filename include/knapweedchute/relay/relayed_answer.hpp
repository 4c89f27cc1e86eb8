#pragma once

#include <knapweedchute/relay/http_field.hpp>

#include <string>

namespace knapweedchute {

/// \brief A complete answer from a target or to a caller.
struct relayed_answer
{
    unsigned status = 0; ///< HTTP status.
    field_list fields;   ///< Headers without hop-by-hop and length headers.
    std::string body;    ///< Body, decoded.

    [[nodiscard]] auto operator==(const relayed_answer&) const -> bool = default;
};

} // namespace knapweedchute
