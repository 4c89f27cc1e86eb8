#pragma once

#include "documents.hpp"

#include <knapweedchute/query/served_shard.hpp>
#include <knapweedchute/runtime/http_server.hpp>

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <queue>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace knapweedchute::test {

/// \brief How a target stand-in behaves.
struct target_options
{
    address where;
    std::vector<served_shard> serving;
    std::size_t documents = 40;           ///< Documents of the whole index.
    std::chrono::microseconds latency{0}; ///< Time to serve a part.
    double straggler_share = 0.0;         ///< Share of parts that take `straggler_factor` longer.
    int straggler_factor = 20;
    std::int64_t limit = 1'000;          ///< Requests in progress when warm; more are shed.
    std::int64_t cold_requests = 1'000;  ///< Requests in progress that it bears when cold.
    std::chrono::milliseconds warmup{1}; ///< Time from cold to warm.
    std::uint64_t seed = 1;
};

/// \brief Small stand-in for a target: searches its shards, sheds, drains, restarts cold.
class target_stand_in
{
public:
    explicit target_stand_in(const target_options& options);
    target_stand_in(const target_stand_in&) = delete;
    auto operator=(const target_stand_in&) -> target_stand_in& = delete;
    ~target_stand_in();

    [[nodiscard]] auto listening() const -> bool { return server_->listening(); }

    /// \name Behaviour
    /// @{
    auto set_latency(std::chrono::microseconds latency) -> void { latency_us_ = latency.count(); }
    auto set_leaving(bool leaving) -> void { leaving_ = leaving; }
    auto set_failing(bool failing) -> void { failing_ = failing; }
    auto set_truncating(bool truncating) -> void { truncating_ = truncating; }
    auto set_crossing(bool crossing) -> void { crossing_ = crossing; }
    auto set_losing_run_answers(bool losing) -> void { losing_run_answers_ = losing; }
    auto set_serving(std::vector<served_shard> serving) -> void;
    auto turn_cold() -> void;
    /// @}

    /// \name What it saw
    /// @{
    [[nodiscard]] auto parts_served() const -> std::uint64_t { return parts_; }
    [[nodiscard]] auto sheds() const -> std::uint64_t { return sheds_; }
    [[nodiscard]] auto most_in_progress() const -> std::int64_t { return most_in_progress_; }
    [[nodiscard]] auto executions() const -> std::map<std::string, int>;
    /// @}

private:
    using clock = std::chrono::steady_clock;

    struct delayed
    {
        clock::time_point when;
        std::function<void()> work;

        auto operator>(const delayed& other) const -> bool { return when > other.when; }
    };

    auto handle(const http_call& call, const http_server::responder& respond) -> void;
    auto serve_part(const nlohmann::json& body, const http_server::responder& respond) -> void;
    auto serve_run(const nlohmann::json& body, const http_server::responder& respond) -> void;
    [[nodiscard]] auto status() -> http_reply;
    [[nodiscard]] auto search(const served_shard& place, const std::string& text, std::size_t top)
        -> nlohmann::json;
    [[nodiscard]] auto bearing() -> std::int64_t;
    [[nodiscard]] auto service_time() -> std::chrono::microseconds;
    auto later(std::chrono::microseconds delay, std::function<void()> work) -> void;
    auto delay_loop() -> void;

    target_options options_;
    std::vector<document> documents_;
    std::atomic<std::int64_t> latency_us_;
    std::atomic<bool> leaving_{false};
    std::atomic<bool> failing_{false};
    std::atomic<bool> truncating_{false};
    std::atomic<bool> crossing_{false};
    std::atomic<bool> losing_run_answers_{false};
    std::atomic<std::uint64_t> parts_{0};
    std::atomic<std::uint64_t> sheds_{0};
    std::atomic<std::int64_t> in_progress_{0};
    std::atomic<std::int64_t> most_in_progress_{0};
    mutable std::mutex mutex_;
    std::vector<served_shard> serving_;
    std::mt19937_64 random_;
    std::uint64_t incarnation_ = 1;
    clock::time_point cold_since_;
    std::map<std::string, int> executions_;
    std::mutex delay_mutex_;
    std::condition_variable delay_wake_;
    std::priority_queue<delayed, std::vector<delayed>, std::greater<>> delays_;
    bool stopping_ = false;
    std::thread delay_thread_;
    std::unique_ptr<http_server> server_;
};

} // namespace knapweedchute::test
