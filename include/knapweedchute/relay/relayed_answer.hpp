#pragma once

#include <knapweedchute/relay/http_field.hpp>

#include <string>

namespace knapweedchute {

/// \brief A whole answer, from a target or to a caller.
struct relayed_answer
{
    unsigned status = 0; ///< HTTP status.
    field_list fields;   ///< Headers; none of one connection only, none about the body's length.
    std::string body;    ///< Body, decoded.

    [[nodiscard]] auto operator==(const relayed_answer&) const -> bool = default;
};

} // namespace knapweedchute
