#pragma once

#include <knapweedchute/config/configuration_holder.hpp>
#include <knapweedchute/rollout/rollout_evidence.hpp>
#include <knapweedchute/rollout/rollout_plan.hpp>
#include <knapweedchute/runtime/query_engine.hpp>

#include <nlohmann/json.hpp>

#include <mutex>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief Final report of a rollout; exactly one is stored for each rollout.
struct rollout_report
{
    rollout_key rollout = 0;                         ///< Rollout that ended.
    std::string service;                             ///< Service that was rolled out.
    std::string version;                             ///< New version.
    rollout_result result = rollout_result::running; ///< Final result.
    rollout_fault fault = rollout_fault::none;       ///< Reason for a rollback.

    [[nodiscard]] auto operator==(const rollout_report&) const -> bool = default;
};

/// \brief Key under which the report of a rollout is stored.
[[nodiscard]] auto report_key(rollout_key rollout) -> std::string;

/// \brief Encodes a report as JSON.
[[nodiscard]] auto encode_report(const rollout_report& report) -> std::string;

/// \brief Reads the result from a stored report.
/// \returns The result, or `running` if the report is not readable.
[[nodiscard]] auto decode_report_result(const std::string& text) -> rollout_result;

/// \brief Advances the declared rollouts of all services on one instance. Thread-safe.
class rollout_agent
{
public:
    /// \param holder Active configuration; must outlive the agent.
    /// \param engine Counts queries and applies the shares; must outlive the agent.
    /// \param source Hash of instance and incarnation.
    rollout_agent(configuration_holder& holder, query_engine& engine, std::uint64_t source);

    /// \brief Updates the counts, decides on each rollout and sets the shares.
    /// \param unix_s Time on the Unix clock, in seconds.
    auto advance(std::int64_t unix_s) -> void;

    /// \name Evidence exchanged with peers
    /// @{
    auto merge_evidence(const std::vector<evidence_row>& rows) -> void;
    [[nodiscard]] auto next_rows(std::size_t count) -> std::vector<evidence_row>;
    /// @}

    /// \name Final reports
    /// @{
    /// \brief Reports that are waiting to be stored.
    [[nodiscard]] auto pending_reports() const -> std::vector<rollout_report>;

    /// \brief Records the result that the store holds for a rollout.
    auto on_recorded(rollout_key rollout, rollout_result result) -> void;
    /// @}

    /// \brief Latest decision on each service, as JSON for the dump.
    [[nodiscard]] auto dump() const -> nlohmann::json;

private:
    auto advance_service(const service_spec& service, std::int64_t unix_s) -> void;

    configuration_holder* holder_;
    query_engine* engine_;
    std::uint64_t source_;
    mutable std::mutex mutex_;
    rollout_evidence evidence_;
    std::map<rollout_key, rollout_report> pending_reports_;
    std::map<std::string, rollout_decision> decisions_;
};

} // namespace knapweedchute
