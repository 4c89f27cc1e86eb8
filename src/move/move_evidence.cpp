#include <knapweedchute/move/move_evidence.hpp>

#include <algorithm>

namespace knapweedchute {

auto move_evidence::merge(const evidence_row& row) -> void
{
    auto& [old_version, new_version] = moves_[row.move].by_source[row.source];
    old_version = later(old_version, row.old_version);
    new_version = later(new_version, row.new_version);
    latch(row.move, row.latched);
    record(row.move, row.recorded);
}

auto move_evidence::latch(move_key move, move_fault fault) -> void
{
    auto& known = moves_[move].latched;
    known = known == move_fault::none ? fault : known;
}

auto move_evidence::record(move_key move, move_result result) -> void
{
    auto& known = moves_[move].recorded;
    known = known == move_result::running ? result : known;
}

auto move_evidence::total(move_key move) const -> std::pair<version_tally, version_tally>
{
    auto sum = std::pair<version_tally, version_tally>{};
    const auto found = moves_.find(move);
    if (found == moves_.end()) {
        return sum;
    }
    for (const auto& [source, counts] : found->second.by_source) {
        sum.first = sum.first + counts.first;
        sum.second = sum.second + counts.second;
    }
    return sum;
}

auto move_evidence::latched(move_key move) const -> move_fault
{
    const auto found = moves_.find(move);
    return found == moves_.end() ? move_fault::none : found->second.latched;
}

auto move_evidence::recorded(move_key move) const -> move_result
{
    const auto found = moves_.find(move);
    return found == moves_.end() ? move_result::running : found->second.recorded;
}

auto move_evidence::next_rows(std::size_t count) -> std::vector<evidence_row>
{
    auto all = std::vector<evidence_row>{};
    for (const auto& [key, known] : moves_) {
        for (const auto& [source, counts] : known.by_source) {
            all.push_back(
                {key, source, counts.first, counts.second, known.latched, known.recorded});
        }
    }
    auto rows = std::vector<evidence_row>{};
    for (auto taken = std::size_t{0}; taken < std::min(count, all.size()); ++taken) {
        rows.push_back(all[(next_row_ + taken) % all.size()]);
    }
    next_row_ += rows.size();
    return rows;
}

auto move_evidence::keep_only(const std::set<move_key>& moves) -> void
{
    std::erase_if(moves_, [&](const auto& item) { return !moves.contains(item.first); });
}

} // namespace knapweedchute
