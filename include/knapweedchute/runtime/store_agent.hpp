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

/// \brief Reads the configuration from the store while this instance is a store reader of its zone,
///        and records the final reports of rollouts.
class store_agent
{
public:
    /// \param values   Settings of the process.
    /// \param holder   Receives configurations; must outlive the agent.
    /// \param peers    Selects the store readers and announces new versions; must outlive the
    /// agent. \param rollouts Provides the final reports to record; must outlive the agent. \param
    /// counters Counts store calls and rejected configurations; must outlive the agent. \param seed
    /// Seed of the random jitter between reads.
    store_agent(const settings& values, configuration_holder& holder, peer_agent& peers,
                rollout_agent& rollouts, counter_set& counters, std::uint64_t seed);
    store_agent(const store_agent&) = delete;
    auto operator=(const store_agent&) -> store_agent& = delete;
    ~store_agent();

    /// \brief Starts the thread.
    auto start() -> void;

private:
    auto run() -> void;
    [[nodiscard]] auto read_configuration() -> bool;
    auto record_rollouts() -> void;
    auto record_report(const rollout_report& report) -> void;
    [[nodiscard]] auto next_delay(std::size_t failures) -> milliseconds;

    settings settings_;
    configuration_holder* holder_;
    peer_agent* peers_;
    rollout_agent* rollouts_;
    counter_set* counters_;
    http_key_value_store key_value_store_;
    configuration_store configuration_store_;
    std::mt19937_64 random_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace knapweedchute
