#pragma once

#include "emulated_targets.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace knapweedchute::emulator {

/// \brief Connections of one emulated instance to the emulated targets.
class emulated_port final : public exchange_port
{
public:
    /// \param one_way         Network delay from the instance to a target.
    /// \param max_connections Maximum connections to one target.
    emulated_port(timer_queue& timers, emulated_targets& targets, duration one_way,
                  std::size_t max_connections);

    [[nodiscard]] auto has_capacity(const target_record& target) const -> bool override;
    auto send(exchange_order order, listener done) -> exchange_id override;
    auto cancel(exchange_id exchange) -> void override;

private:
    struct connections
    {
        std::size_t open = 0;
        std::size_t idle = 0;
    };

    struct open_exchange
    {
        std::string target;
        listener done;
        job_id job = 0;
        bool reused = false;
    };

    auto deliver(exchange_id id, exchange_result result) -> void;
    auto end(exchange_id id, exchange_result result, bool keep) -> void;

    timer_queue* timers_;
    emulated_targets* targets_;
    duration one_way_;
    std::size_t max_connections_;
    std::unordered_map<std::string, connections> connections_;
    std::unordered_map<exchange_id, open_exchange> exchanges_;
    exchange_id next_ = 1;
};

} // namespace knapweedchute::emulator
