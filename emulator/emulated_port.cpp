#include "emulated_port.hpp"

#include <utility>

namespace knapweedchute::emulator {

emulated_port::emulated_port(timer_queue& timers, emulated_targets& targets, duration one_way,
                             std::size_t max_connections)
    : timers_{&timers}, targets_{&targets}, one_way_{one_way}, max_connections_{max_connections}
{
}

auto emulated_port::has_capacity(const target_record& target) const -> bool
{
    const auto found = connections_.find(target.id);
    return found == connections_.end() || found->second.idle > 0 ||
           found->second.open < max_connections_;
}

auto emulated_port::send(exchange_order order, listener done) -> exchange_id
{
    const auto id = next_++;
    auto& to = connections_[order.target->id];
    const auto reused = to.idle > 0;
    to.idle -= reused ? 1 : 0;
    to.open += reused ? 0 : 1;
    exchanges_[id] = {order.target->id, std::move(done), 0, reused};
    timers_->at(timers_->now() + one_way_, [this, id, reused, target = order.target->id,
                                            request = order.request_id] {
        const auto found = exchanges_.find(id);
        if (found == exchanges_.end()) {
            return;
        }
        found->second.job = targets_->submit({target, request, !reused},
                                             [this, id](auto result) { deliver(id, result); });
    });
    return id;
}

auto emulated_port::deliver(exchange_id id, exchange_result result) -> void
{
    timers_->at(timers_->now() + one_way_, [this, id, result = std::move(result)]() mutable {
        const auto keep = !result.never_sent;
        end(id, std::move(result), keep);
    });
}

auto emulated_port::cancel(exchange_id exchange) -> void
{
    const auto found = exchanges_.find(exchange);
    if (found == exchanges_.end()) {
        return;
    }
    // The target notices the closed connection after the network delay.
    if (const auto job = found->second.job; job != 0) {
        timers_->at(timers_->now() + one_way_, [this, job] { targets_->cancel(job); });
    }
    timers_->at(timers_->now(), [this, exchange] { end(exchange, {}, false); });
}

auto emulated_port::end(exchange_id id, exchange_result result, bool keep) -> void
{
    auto node = exchanges_.extract(id);
    if (node.empty()) {
        return;
    }
    auto& used = connections_[node.mapped().target];
    used.idle += keep ? 1 : 0;
    used.open -= keep ? 0 : 1;
    result.reused_connection = node.mapped().reused;
    node.mapped().done(std::move(result));
}

} // namespace knapweedchute::emulator
