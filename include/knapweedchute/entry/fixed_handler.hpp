#pragma once

#include <knapweedchute/net/request_handler.hpp>

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace knapweedchute {

/// \brief Answers a few paths at once, each by a function.
class fixed_handler final : public request_handler
{
public:
    /// \brief Answers one request.
    using page = std::function<relayed_answer(const relayed_request&)>;

    /// \param pages Functions by path without a query.
    explicit fixed_handler(std::map<std::string, page> pages) : pages_{std::move(pages)} {}

    auto handle(relayed_request request, responder respond) -> std::uint64_t override;
    auto leave(std::uint64_t /*request*/) -> void override {}
    [[nodiscard]] auto limits() const -> caller_limits override { return {}; }

private:
    std::map<std::string, page> pages_;
};

} // namespace knapweedchute
