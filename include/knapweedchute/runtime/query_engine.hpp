#pragma once

#include <knapweedchute/config/configuration_holder.hpp>
#include <knapweedchute/config/settings.hpp>
#include <knapweedchute/membership/member.hpp>
#include <knapweedchute/query/admission_control.hpp>
#include <knapweedchute/query/run_ledger.hpp>
#include <knapweedchute/runtime/forwarder.hpp>
#include <knapweedchute/runtime/service_lane.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief All services of an instance, spread over worker threads.
class query_engine
{
public:
    /// \brief Receives the end of a request, on a worker's thread.
    using completion = service_lane::completion;

    /// \param values      Settings of the process.
    /// \param incarnation Number of this start.
    /// \param holder      Configuration in force; outlives the engine.
    /// \param remote      Carries forwarded parts; outlives the engine.
    /// \param counters    Receives events; outlives the engine.
    query_engine(const settings& values, std::uint64_t incarnation, configuration_holder& holder,
                 forwarder& remote, counter_set& counters);
    query_engine(const query_engine&) = delete;
    auto operator=(const query_engine&) -> query_engine& = delete;
    ~query_engine();

    /// \brief Takes a configuration and the known instances in force.
    auto configure(const configuration& accepted, const std::vector<member>& members) -> void;

    /// \name Requests
    /// @{
    auto search(search_request request, completion done) -> void;
    auto search_forwarded(const forwarded_request& request, completion done) -> void;
    auto run(run_request request, completion done) -> void;
    [[nodiscard]] auto issue_id() -> std::string;
    /// @}

    /// \name Moves between versions
    /// @{
    auto set_new_version_share(const std::string& service, std::int64_t share_permil) -> void;
    [[nodiscard]] auto tallies(const std::string& service, const rollout_spec& move) const
        -> std::map<std::string, version_tally>;
    /// @}

    /// \brief Requests in progress.
    [[nodiscard]] auto in_progress() const noexcept -> std::size_t { return in_progress_; }

    /// \brief State for the dump.
    [[nodiscard]] auto dump() const -> nlohmann::json;

private:
    struct lane_slot
    {
        std::size_t worker = 0;
        std::unique_ptr<service_lane> lane;
    };

    [[nodiscard]] auto find_lane(const std::string& service) const -> const lane_slot*;
    [[nodiscard]] auto lane_for(const std::string& service) -> lane_slot&;
    [[nodiscard]] auto tick(std::size_t worker, time_point now) -> std::optional<time_point>;
    [[nodiscard]] auto counted(completion done, bool is_search, time_point deadline) -> completion;
    auto refuse_unknown(const std::string& service, const completion& done) -> void;

    settings settings_;
    std::uint64_t incarnation_;
    configuration_holder* holder_;
    forwarder* remote_;
    counter_set* counters_;
    least_cost_selector chooser_;
    std::mutex admission_mutex_;
    admission_control admission_;
    std::mutex ledger_mutex_;
    run_ledger ledger_;
    std::atomic<std::size_t> in_progress_{0};
    mutable std::shared_mutex lanes_mutex_;
    std::map<std::string, lane_slot> lanes_;
    std::vector<std::unique_ptr<transfer_worker>> workers_;
};

} // namespace knapweedchute
