#pragma once

#include <knapweedchute/core/address.hpp>
#include <knapweedchute/runtime/transfer_worker.hpp>

#include <atomic>
#include <cstdint>
#include <fstream>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace knapweedchute::bench {

/// \brief What a load run sends.
struct load_options
{
    std::vector<address> callers; ///< Instances to ask.
    std::string service;          ///< Service to search.
    std::string text;             ///< What to search for.
    double rate = 100.0;          ///< Searches per second, sent whether answered or not.
    std::uint64_t count = 1'000;  ///< Searches in all.
    milliseconds deadline{1'000}; ///< Deadline of each.
    std::int64_t most_worth = 1;  ///< Worth is drawn from 1 to this.
    std::uint64_t seed = 1;       ///< Seed of the draws.
    std::string history;          ///< File that receives one JSON line per search, or empty.
};

/// \brief What a load run measured.
struct load_report
{
    std::vector<double> latencies_ms;             ///< Latencies of answered searches, sorted.
    std::uint64_t whole = 0;                      ///< Answered with every shard.
    std::uint64_t partial = 0;                    ///< Answered with shards missing.
    std::map<std::string, std::uint64_t> refused; ///< Refusals by type.
    std::uint64_t failed = 0;                     ///< No whole response from any instance in time.
    std::uint64_t late = 0;                       ///< Answered after the deadline.
    std::uint64_t resent = 0;                     ///< Sent again to another instance.
    std::uint64_t answered_worth = 0;             ///< Worth of answers in time.
    std::uint64_t offered_worth = 0;              ///< Worth of all searches.
    double coverage = 0.0;                        ///< Mean coverage of answered searches.

    /// \brief Latency quantile in milliseconds.
    [[nodiscard]] auto quantile(double part) const -> double;
};

/// \brief Sends searches at a fixed rate and records what comes back.
class load_run
{
public:
    explicit load_run(load_options options);

    /// \brief Runs to the end.
    [[nodiscard]] auto run() -> load_report;

private:
    struct search
    {
        std::uint64_t number = 0;
        std::int64_t worth = 1;
        time_point invoked;
        std::size_t caller = 0;
        std::size_t tries = 0;
    };

    [[nodiscard]] auto tick(time_point now) -> std::optional<time_point>;
    auto send(search item) -> void;
    auto on_result(search item, const transfer_result& result) -> void;
    auto record(const search& item, const std::string& outcome, const std::string& body) -> void;

    load_options options_;
    load_report report_;
    std::mt19937_64 random_;
    std::ofstream history_;
    double coverage_sum_ = 0.0;
    std::uint64_t sent_ = 0;
    std::atomic<std::uint64_t> finished_{0};
    time_point started_;
    transfer_worker worker_;
};

} // namespace knapweedchute::bench
