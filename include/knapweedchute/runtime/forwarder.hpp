#pragma once

#include <knapweedchute/query/forwarded_request.hpp>
#include <knapweedchute/query/query_answer.hpp>

#include <functional>
#include <optional>
#include <string>

namespace knapweedchute {

/// \brief Forwards parts of a search to another instance.
class forwarder
{
public:
    /// \brief Receives the answer, or nothing if forwarding failed. Called on any thread.
    using completion = std::function<void(std::optional<query_answer>)>;

    forwarder() = default;
    forwarder(const forwarder&) = delete;
    auto operator=(const forwarder&) -> forwarder& = delete;
    virtual ~forwarder() = default;

    /// \brief Forwards a request to an instance; `done` is called exactly once.
    virtual auto forward(const std::string& instance, forwarded_request request, completion done)
        -> void = 0;
};

} // namespace knapweedchute
