#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/relay/http_field.hpp>

#include <optional>
#include <string>

namespace knapweedchute {

/// \brief A caller's complete request.
struct relayed_request
{
    std::string method;                   ///< Method as sent.
    std::string target;                   ///< Path and query as sent.
    std::string host;                     ///< Value of the `Host` header.
    field_list fields;                    ///< Headers to forward, without hop-by-hop headers.
    std::string body;                     ///< Body, decoded.
    std::string id;                       ///< Id of the caller's attempt; may be empty.
    std::optional<milliseconds> deadline; ///< How long the caller waits, if stated.
};

} // namespace knapweedchute
