#pragma once

#include <knapweedchute/rollout/evidence_row.hpp>

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace knapweedchute {

/// \brief Evidence from all instances on all rollouts.
///
/// \detail Rows may be merged in any order and any number of times: the counts of a source only
///         increase, a detected fault is never cleared and a recorded result never changes.
class rollout_evidence
{
public:
    /// \brief Merges a row of this instance or of a peer.
    auto merge(const evidence_row& row) -> void;

    /// \brief Records a detected fault; once recorded it is never cleared or replaced.
    auto record_fault(rollout_key rollout, rollout_fault fault) -> void;

    /// \brief Records the final result; once recorded it is never replaced.
    auto record_result(rollout_key rollout, rollout_result result) -> void;

    /// \brief Sums the counts over all sources.
    /// \returns Counts of the old and of the new version; zeros for an unknown rollout.
    [[nodiscard]] auto total(rollout_key rollout) const -> std::pair<version_tally, version_tally>;

    /// \brief Detected fault, or `none`.
    [[nodiscard]] auto detected_fault(rollout_key rollout) const -> rollout_fault;

    /// \brief Recorded final result, or `running`.
    [[nodiscard]] auto recorded_result(rollout_key rollout) const -> rollout_result;

    /// \brief Next rows to send to a peer, cycling through all rows.
    /// \param count Maximum number of rows.
    [[nodiscard]] auto next_rows(std::size_t count) -> std::vector<evidence_row>;

    /// \brief Moves the evidence on a rollout to another identity of it.
    auto rename(rollout_key from, rollout_key to) -> void;

    /// \brief Removes the evidence on all rollouts that are not in `rollouts`.
    auto keep_only(const std::set<rollout_key>& rollouts) -> void;

private:
    struct progress
    {
        std::map<std::uint64_t, std::pair<version_tally, version_tally>> by_source;
        rollout_fault detected_fault = rollout_fault::none;
        rollout_result recorded_result = rollout_result::running;
    };

    std::map<rollout_key, progress> rollouts_;
    std::size_t next_row_ = 0;
};

} // namespace knapweedchute
