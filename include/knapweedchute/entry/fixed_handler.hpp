#pragma once

#include <knapweedchute/net/request_handler.hpp>

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace knapweedchute {

/// \brief Answers a fixed set of paths synchronously and forwards all other requests.
class fixed_handler final : public request_handler
{
public:
    /// \brief Produces the answer to one request.
    using page = std::function<relayed_answer(const relayed_request&)>;

    /// \param pages    Page functions by path, without the query string.
    /// \param fallback Handles all other paths; if null, they are answered with 404.
    explicit fixed_handler(std::map<std::string, page> pages, request_handler* fallback = nullptr)
        : pages_{std::move(pages)}, fallback_{fallback}
    {
    }

    auto handle(relayed_request request, responder respond) -> std::uint64_t override;
    auto cancel(std::uint64_t request) -> void override
    {
        if (fallback_ != nullptr) {
            fallback_->cancel(request);
        }
    }
    [[nodiscard]] auto limits() const -> caller_limits override { return {}; }

private:
    std::map<std::string, page> pages_;
    request_handler* fallback_;
};

} // namespace knapweedchute
