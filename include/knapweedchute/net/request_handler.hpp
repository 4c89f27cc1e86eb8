#pragma once

#include <knapweedchute/relay/relayed_answer.hpp>
#include <knapweedchute/relay/relayed_request.hpp>
#include <knapweedchute/route/caller_limits.hpp>

#include <cstdint>
#include <functional>

namespace knapweedchute {

/// \brief Answers the requests of one listening address.
class request_handler
{
public:
    /// \brief Takes the final answer, once, maybe from inside `handle`.
    using responder = std::function<void(relayed_answer)>;

    request_handler() = default;
    request_handler(const request_handler&) = delete;
    auto operator=(const request_handler&) -> request_handler& = delete;
    virtual ~request_handler() = default;

    /// \brief Takes a request.
    /// \returns A number for `leave`, or 0 if it was answered at once.
    virtual auto handle(relayed_request request, responder respond) -> std::uint64_t = 0;

    /// \brief The caller has left before its answer.
    virtual auto leave(std::uint64_t request) -> void = 0;

    /// \brief Limits of callers now.
    [[nodiscard]] virtual auto limits() const -> caller_limits = 0;
};

} // namespace knapweedchute
