#pragma once

#include <knapweedchute/entry/cluster_view.hpp>
#include <knapweedchute/net/request_handler.hpp>
#include <knapweedchute/relay/relay_coordinator.hpp>

namespace knapweedchute {

/// \brief Passes callers' requests to the relay coordinator with the active route table.
class relay_handler final : public request_handler
{
public:
    relay_handler(const cluster_view& view, relay_coordinator& coordinator)
        : view_{&view}, coordinator_{&coordinator}
    {
    }

    auto handle(relayed_request request, responder respond) -> std::uint64_t override
    {
        return coordinator_->start(view_->table(), std::move(request), std::move(respond));
    }

    auto cancel(std::uint64_t request) -> void override { coordinator_->cancel(request); }

    [[nodiscard]] auto limits() const -> caller_limits override
    {
        return view_->table() ? view_->table()->limits() : caller_limits{};
    }

private:
    const cluster_view* view_;
    relay_coordinator* coordinator_;
};

} // namespace knapweedchute
