#pragma once

#include <knapweedchute/relay/exchange_port.hpp>
#include <knapweedchute/relay/timer_queue.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace knapweedchute::test {

/// \brief What a fake target does with a request.
struct fake_reply
{
    duration after{milliseconds{5}}; ///< Time until the end; a negative time means never.
    exchange_result result;          ///< End of the exchange.
};

/// \brief Targets without a network: the test says how each request ends.
class fake_exchange_port final : public exchange_port
{
public:
    explicit fake_exchange_port(timer_queue& timers) : timers_{&timers} {}

    [[nodiscard]] auto has_capacity(const target_record& target) const -> bool override
    {
        return !full.contains(target.id);
    }

    auto send(exchange_order order, listener done) -> exchange_id override
    {
        const auto id = next_++;
        sent.push_back(order);
        const auto reply = answer(order);
        running_.emplace(id, std::move(done));
        if (reply.after >= duration::zero()) {
            timers_->at(timers_->now() + reply.after,
                        [this, id, result = reply.result] { finish(id, result); });
        }
        return id;
    }

    auto cancel(exchange_id exchange) -> void override
    {
        cancelled += running_.contains(exchange) ? 1 : 0;
        timers_->at(timers_->now(), [this, exchange] { finish(exchange, {}); });
    }

    /// \brief Requests to a target so far.
    [[nodiscard]] auto sent_to(const std::string& id) const -> std::size_t
    {
        return static_cast<std::size_t>(std::count_if(
            sent.begin(), sent.end(), [&](const auto& order) { return order.target->id == id; }));
    }

    std::function<fake_reply(const exchange_order&)> answer;
    std::vector<exchange_order> sent;
    std::set<std::string> full;
    std::size_t cancelled = 0;

private:
    auto finish(exchange_id id, const exchange_result& result) -> void
    {
        if (auto node = running_.extract(id); !node.empty()) {
            node.mapped()(result);
        }
    }

    timer_queue* timers_;
    std::map<exchange_id, listener> running_;
    exchange_id next_ = 1;
};

} // namespace knapweedchute::test
