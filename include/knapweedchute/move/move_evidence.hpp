#pragma once

#include <knapweedchute/move/evidence_row.hpp>

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace knapweedchute {

/// \brief Evidence of all instances on all moves.
///
/// \detail Rows merge in any order and any number of times: counts of one source only rise, a
///         latched fault is never released, a recorded end never changes.
class move_evidence
{
public:
    /// \brief Takes in a row, own or from a peer.
    auto merge(const evidence_row& row) -> void;

    /// \brief Latches a fault; the first one stays.
    auto latch(move_key move, move_fault fault) -> void;

    /// \brief Notes the end that is stored; the first one stays.
    auto record(move_key move, move_result result) -> void;

    /// \brief Counts of the old and the new version over all sources.
    [[nodiscard]] auto total(move_key move) const -> std::pair<version_tally, version_tally>;

    [[nodiscard]] auto latched(move_key move) const -> move_fault;
    [[nodiscard]] auto recorded(move_key move) const -> move_result;

    /// \brief Up to `count` rows to tell a peer, in turn.
    [[nodiscard]] auto next_rows(std::size_t count) -> std::vector<evidence_row>;

    /// \brief Forgets moves that are not declared any more.
    auto keep_only(const std::set<move_key>& moves) -> void;

private:
    struct progress
    {
        std::map<std::uint64_t, std::pair<version_tally, version_tally>> by_source;
        move_fault latched = move_fault::none;
        move_result recorded = move_result::running;
    };

    std::map<move_key, progress> moves_;
    std::size_t next_row_ = 0;
};

} // namespace knapweedchute
