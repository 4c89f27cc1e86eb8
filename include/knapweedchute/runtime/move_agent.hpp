#pragma once

#include <knapweedchute/config/configuration_holder.hpp>
#include <knapweedchute/move/move_evidence.hpp>
#include <knapweedchute/move/move_plan.hpp>
#include <knapweedchute/runtime/query_engine.hpp>

#include <nlohmann/json.hpp>

#include <mutex>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief Final report of a move as it is stored: exactly one per move.
struct move_report
{
    move_key move = 0;                         ///< Move that ended.
    std::string service;                       ///< Service that moved.
    std::string version;                       ///< Version that should have taken over.
    move_result result = move_result::running; ///< How it ended.
    move_fault fault = move_fault::none;       ///< Why it was taken back.

    [[nodiscard]] auto operator==(const move_report&) const -> bool = default;
};

/// \brief Key under which the report of a move is stored.
[[nodiscard]] auto report_key(move_key move) -> std::string;

/// \brief JSON text of a report.
[[nodiscard]] auto encode_report(const move_report& report) -> std::string;

/// \brief How a stored report says that its move ended; `running` if it is not readable.
[[nodiscard]] auto decode_report_result(const std::string& text) -> move_result;

/// \brief Drives the moves of all services on one instance. May be used from any thread.
class move_agent
{
public:
    /// \param holder Configuration in force; outlives the agent.
    /// \param engine Counts queries and takes shares; outlives the agent.
    /// \param source Hash of instance and incarnation.
    move_agent(configuration_holder& holder, query_engine& engine, std::uint64_t source);

    /// \brief Counts, judges and sets the shares.
    auto advance(std::int64_t unix_s) -> void;

    /// \name Spread among instances
    /// @{
    auto merge(const std::vector<evidence_row>& rows) -> void;
    [[nodiscard]] auto next_rows(std::size_t count) -> std::vector<evidence_row>;
    /// @}

    /// \name Final reports
    /// @{
    /// \brief Ends that should be stored.
    [[nodiscard]] auto wanted_reports() const -> std::vector<move_report>;

    /// \brief Notes what the store holds for a move.
    auto on_recorded(move_key move, move_result result) -> void;
    /// @}

    /// \brief State for the dump.
    [[nodiscard]] auto dump() const -> nlohmann::json;

private:
    auto advance_service(const service_spec& service, std::int64_t unix_s) -> void;

    configuration_holder* holder_;
    query_engine* engine_;
    std::uint64_t source_;
    mutable std::mutex mutex_;
    move_evidence evidence_;
    std::map<move_key, move_report> wanted_;
    std::map<std::string, move_decision> decisions_;
};

} // namespace knapweedchute
