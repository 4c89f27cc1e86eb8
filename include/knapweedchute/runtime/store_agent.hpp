#pragma once

#include <knapweedchute/config/configuration_holder.hpp>
#include <knapweedchute/config/configuration_store.hpp>
#include <knapweedchute/config/settings.hpp>
#include <knapweedchute/core/counter_set.hpp>
#include <knapweedchute/runtime/peer_agent.hpp>
#include <knapweedchute/runtime/rollout_agent.hpp>
#include <knapweedchute/store/http_key_value_store.hpp>

#include <condition_variable>
#include <mutex>
#include <random>
#include <thread>

namespace knapweedchute {

/// \brief Reads the platform's service while this instance is one of its zone's readers.
class store_agent
{
public:
    /// \param values   Settings of the process.
    /// \param holder   Receives configurations; outlives the agent.
    /// \param peers    Tells who reads and spreads what was read; outlives the agent.
    /// \param moves    Tells which final reports are wanted; outlives the agent.
    /// \param counters Receives events; outlives the agent.
    /// \param seed     Seed of the jitter.
    store_agent(const settings& values, configuration_holder& holder, peer_agent& peers,
                rollout_agent& moves, counter_set& counters, std::uint64_t seed);
    store_agent(const store_agent&) = delete;
    auto operator=(const store_agent&) -> store_agent& = delete;
    ~store_agent();

    /// \brief Starts the thread.
    auto start() -> void;

private:
    auto loop() -> void;
    [[nodiscard]] auto read_once() -> bool;
    auto record_moves() -> void;
    auto record(const rollout_report& report) -> void;
    [[nodiscard]] auto next_wait(std::size_t failures) -> milliseconds;

    settings settings_;
    configuration_holder* holder_;
    peer_agent* peers_;
    rollout_agent* moves_;
    counter_set* counters_;
    http_key_value_store service_;
    configuration_store store_;
    std::mt19937_64 random_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace knapweedchute
