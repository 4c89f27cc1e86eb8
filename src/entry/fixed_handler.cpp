#include <knapweedchute/entry/fixed_handler.hpp>
#include <knapweedchute/relay/refusal_answer.hpp>

#include <utility>

namespace knapweedchute {

auto fixed_handler::handle(relayed_request request, responder respond) -> std::uint64_t
{
    constexpr auto not_found = 404U;
    const auto found = pages_.find(request.target.substr(0, request.target.find('?')));
    if (found == pages_.end() && fallback_ != nullptr) {
        return fallback_->handle(std::move(request), std::move(respond));
    }
    respond(found == pages_.end() ? error_answer(not_found, "no such page")
                                  : found->second(request));
    return 0;
}

} // namespace knapweedchute
