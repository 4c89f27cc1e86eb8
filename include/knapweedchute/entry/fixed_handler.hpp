#pragma once

#include <knapweedchute/net/request_handler.hpp>

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace knapweedchute {

/// \brief Answers a few paths at once, each by a function, and hands others on.
class fixed_handler final : public request_handler
{
public:
    /// \brief Answers one request.
    using page = std::function<relayed_answer(const relayed_request&)>;

    /// \param pages     Functions by path without a query.
    /// \param otherwise Handles all other paths; null: they are not found.
    explicit fixed_handler(std::map<std::string, page> pages, request_handler* otherwise = nullptr)
        : pages_{std::move(pages)}, otherwise_{otherwise}
    {
    }

    auto handle(relayed_request request, responder respond) -> std::uint64_t override;
    auto leave(std::uint64_t request) -> void override
    {
        if (otherwise_ != nullptr) {
            otherwise_->leave(request);
        }
    }
    [[nodiscard]] auto limits() const -> caller_limits override { return {}; }

private:
    std::map<std::string, page> pages_;
    request_handler* otherwise_;
};

} // namespace knapweedchute
