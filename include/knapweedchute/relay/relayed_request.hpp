#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/relay/http_field.hpp>

#include <optional>
#include <string>

namespace knapweedchute {

/// \brief A caller's whole request.
struct relayed_request
{
    std::string method;                   ///< Method as sent.
    std::string target;                   ///< Path and query as sent.
    std::string host;                     ///< Host that the caller named.
    field_list fields;                    ///< Headers to pass on; none of one connection only.
    std::string body;                     ///< Body, decoded.
    std::string id;                       ///< Identity of the caller's attempt; may be empty.
    std::optional<milliseconds> deadline; ///< How long the caller will wait, if it said so.
};

} // namespace knapweedchute
