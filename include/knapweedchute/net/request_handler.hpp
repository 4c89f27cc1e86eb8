#pragma once

#include <knapweedchute/relay/relayed_answer.hpp>
#include <knapweedchute/relay/relayed_request.hpp>
#include <knapweedchute/route/caller_limits.hpp>

#include <cstdint>
#include <functional>

namespace knapweedchute {

/// \brief Handles the requests of one listening address.
class request_handler
{
public:
    /// \brief Receives the final answer, exactly once, possibly from inside `handle`.
    using responder = std::function<void(relayed_answer)>;

    request_handler() = default;
    request_handler(const request_handler&) = delete;
    auto operator=(const request_handler&) -> request_handler& = delete;
    virtual ~request_handler() = default;

    /// \brief Handles a request.
    /// \returns A number for `cancel`, or 0 if the request was answered at once.
    virtual auto handle(relayed_request request, responder respond) -> std::uint64_t = 0;

    /// \brief Cancels a request whose caller disconnected before the answer.
    virtual auto cancel(std::uint64_t request) -> void = 0;

    /// \brief Returns the current limits for callers.
    [[nodiscard]] virtual auto limits() const -> caller_limits = 0;
};

} // namespace knapweedchute
