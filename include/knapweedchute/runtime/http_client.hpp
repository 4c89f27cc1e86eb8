#pragma once

#include <knapweedchute/core/error.hpp>
#include <knapweedchute/runtime/http_exchange.hpp>

#include <memory>
#include <optional>

namespace knapweedchute {

/// \brief Blocking HTTP client for one thread, over libcurl.
class http_client
{
public:
    http_client();

    /// \brief Performs one exchange; does not follow redirects.
    /// \param request The request to send.
    /// \param reason  Set on failure: `store_unavailable` if connecting failed, so that the request
    ///                provably was not sent, otherwise `outcome_unknown`.
    /// \returns The response, or nothing if no complete response was received.
    [[nodiscard]] auto perform(const http_request& request, error& reason)
        -> std::optional<http_response>;

private:
    struct handle_closer
    {
        auto operator()(void* handle) const noexcept -> void;
    };

    std::unique_ptr<void, handle_closer> handle_;
};

} // namespace knapweedchute
