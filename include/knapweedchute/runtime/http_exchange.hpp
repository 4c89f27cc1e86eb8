#pragma once

#include <knapweedchute/core/time.hpp>

#include <string>
#include <vector>

namespace knapweedchute {

/// \brief One HTTP request.
struct http_request
{
    std::string method = "GET";       ///< HTTP method.
    std::string url;                  ///< Complete URL.
    std::string body;                 ///< Body; may be empty.
    std::vector<std::string> headers; ///< Header lines of the form `Name: value`.
    milliseconds timeout{1'000};      ///< Limit for the complete exchange.

    [[nodiscard]] auto operator==(const http_request&) const -> bool = default;
};

/// \brief One HTTP response.
struct http_response
{
    long status = 0;  ///< Status code.
    std::string body; ///< Complete body.

    [[nodiscard]] auto operator==(const http_response&) const -> bool = default;
};

} // namespace knapweedchute
