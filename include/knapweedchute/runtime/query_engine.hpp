#pragma once

#include <knapweedchute/config/configuration_holder.hpp>
#include <knapweedchute/config/settings.hpp>
#include <knapweedchute/membership/member.hpp>
#include <knapweedchute/query/admission_control.hpp>
#include <knapweedchute/query/run_ledger.hpp>
#include <knapweedchute/runtime/forwarder.hpp>
#include <knapweedchute/runtime/service_executor.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief Executes the requests of all services of an instance, spread over worker threads.
class query_engine
{
public:
    /// \brief Receives the result of a request, on a worker's thread or, if the request is refused
    ///        or answered before it starts, on the calling thread.
    using completion = service_executor::completion;

    /// \param values      Settings of the process.
    /// \param incarnation Number of this start of the process.
    /// \param holder      Holds the active configuration; must outlive the engine.
    /// \param remote      Forwards parts to other instances; must outlive the engine.
    /// \param counters    Counts events; must outlive the engine.
    query_engine(const settings& values, std::uint64_t incarnation, configuration_holder& holder,
                 forwarder& remote, counter_set& counters);
    query_engine(const query_engine&) = delete;
    auto operator=(const query_engine&) -> query_engine& = delete;
    ~query_engine();

    /// \brief Applies a configuration and the current member list to every service.
    auto configure(const configuration& accepted, const std::vector<member>& members) -> void;

    /// \name Requests
    /// @{
    auto search(search_request request, completion done) -> void;
    auto search_forwarded(const forwarded_request& request, completion done) -> void;
    auto run(run_request request, completion done) -> void;
    [[nodiscard]] auto issue_id() -> std::string;
    /// @}

    /// \name Rollouts
    /// @{
    auto set_new_version_share(const std::string& service, std::int64_t share_permil) -> void;
    [[nodiscard]] auto tallies(const std::string& service, const rollout_spec& rollout) const
        -> std::map<std::string, version_tally>;
    /// @}

    /// \brief Number of requests in progress.
    [[nodiscard]] auto in_progress() const noexcept -> std::size_t { return in_progress_; }

    /// \brief State of all services for the operators' dump.
    [[nodiscard]] auto dump() const -> nlohmann::json;

private:
    struct executor_entry
    {
        std::size_t worker = 0;
        std::unique_ptr<service_executor> executor;
    };

    [[nodiscard]] auto find_executor(const std::string& service) const -> const executor_entry*;
    [[nodiscard]] auto find_or_create_executor(const std::string& service) -> executor_entry&;
    [[nodiscard]] auto tick(std::size_t worker, time_point now) -> std::optional<time_point>;
    [[nodiscard]] auto track_completion(completion done, bool is_search, time_point deadline)
        -> completion;
    auto refuse_unknown_service(const std::string& service, const completion& done) -> void;

    settings settings_;
    std::uint64_t incarnation_;
    configuration_holder* holder_;
    forwarder* remote_;
    counter_set* counters_;
    least_cost_selector selector_;
    std::mutex admission_mutex_;
    admission_control admission_;
    std::mutex ledger_mutex_;
    run_ledger ledger_;
    std::atomic<std::size_t> in_progress_{0};
    mutable std::shared_mutex executors_mutex_;
    std::map<std::string, executor_entry> executors_;
    std::vector<std::unique_ptr<transfer_worker>> workers_;
};

} // namespace knapweedchute
