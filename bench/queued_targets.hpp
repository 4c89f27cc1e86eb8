#pragma once

#include <knapweedchute/relay/exchange_port.hpp>
#include <knapweedchute/relay/timer_queue.hpp>

#include <deque>
#include <map>
#include <random>
#include <string>

namespace knapweedchute::bench {

/// \brief How one target works.
struct target_model
{
    std::size_t slots = 2;                     ///< Requests worked on at once.
    std::size_t queue = 12;                    ///< Requests that wait; more are told "not run".
    double speed = 1.0;                        ///< Multiple of the usual time.
    duration pause{milliseconds{200}};         ///< Length of a pause.
    duration pause_every{milliseconds{4'500}}; ///< From pause to pause.
    duration phase{0};                         ///< Begin of the first pause.
};

/// \brief Targets with queues and pauses, in virtual time, shared by several instances.
/// \detail The usual work of a request is told by the first letter of its id: `l` for light.
class queued_targets final : public exchange_port
{
public:
    queued_targets(timer_queue& timers, std::uint64_t seed) : timers_{&timers}, random_{seed} {}

    auto set(const std::string& id, const target_model& model) -> void
    {
        targets_[id].model = model;
    }

    [[nodiscard]] auto has_capacity(const target_record& /*target*/) const -> bool override
    {
        return true;
    }
    auto send(exchange_order order, listener done) -> exchange_id override;
    auto cancel(exchange_id exchange) -> void override;

private:
    struct job
    {
        exchange_id id = 0;
        std::string target;
        std::string request;
        listener done;
        bool working = false;
    };

    struct target_state
    {
        target_model model;
        std::deque<exchange_id> waiting;
        std::size_t busy = 0;
    };

    auto work(const std::string& target) -> void;
    auto finish(exchange_id exchange) -> void;
    [[nodiscard]] auto time_of(const job& which, const target_model& model) -> duration;

    timer_queue* timers_;
    std::mt19937_64 random_;
    std::map<std::string, target_state> targets_;
    std::map<exchange_id, job> jobs_;
    exchange_id next_ = 1;
};

} // namespace knapweedchute::bench
