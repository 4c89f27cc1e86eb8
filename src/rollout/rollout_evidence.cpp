#include <knapweedchute/rollout/rollout_evidence.hpp>

#include <algorithm>

namespace knapweedchute {

auto rollout_evidence::merge(const evidence_row& row) -> void
{
    auto& [old_version, new_version] = rollouts_[row.rollout].by_source[row.source];
    old_version = latest(old_version, row.old_version);
    new_version = latest(new_version, row.new_version);
    record_fault(row.rollout, row.detected_fault);
    record_result(row.rollout, row.recorded_result);
}

auto rollout_evidence::record_fault(rollout_key rollout, rollout_fault fault) -> void
{
    auto& current = rollouts_[rollout].detected_fault;
    current = current == rollout_fault::none ? fault : current;
}

auto rollout_evidence::record_result(rollout_key rollout, rollout_result result) -> void
{
    auto& current = rollouts_[rollout].recorded_result;
    current = current == rollout_result::running ? result : current;
}

auto rollout_evidence::total(rollout_key rollout) const -> std::pair<version_tally, version_tally>
{
    auto sum = std::pair<version_tally, version_tally>{};
    const auto found = rollouts_.find(rollout);
    if (found == rollouts_.end()) {
        return sum;
    }
    for (const auto& [source, counts] : found->second.by_source) {
        sum.first = sum.first + counts.first;
        sum.second = sum.second + counts.second;
    }
    return sum;
}

auto rollout_evidence::detected_fault(rollout_key rollout) const -> rollout_fault
{
    const auto found = rollouts_.find(rollout);
    return found == rollouts_.end() ? rollout_fault::none : found->second.detected_fault;
}

auto rollout_evidence::recorded_result(rollout_key rollout) const -> rollout_result
{
    const auto found = rollouts_.find(rollout);
    return found == rollouts_.end() ? rollout_result::running : found->second.recorded_result;
}

auto rollout_evidence::next_rows(std::size_t count) -> std::vector<evidence_row>
{
    auto all_rows = std::vector<evidence_row>{};
    for (const auto& [key, state] : rollouts_) {
        for (const auto& [source, counts] : state.by_source) {
            all_rows.push_back({key, source, counts.first, counts.second, state.detected_fault,
                                state.recorded_result});
        }
    }
    auto rows = std::vector<evidence_row>{};
    for (auto index = std::size_t{0}; index < std::min(count, all_rows.size()); ++index) {
        rows.push_back(all_rows[(next_row_ + index) % all_rows.size()]);
    }
    next_row_ += rows.size();
    return rows;
}

auto rollout_evidence::rename(rollout_key from, rollout_key to) -> void
{
    auto node = rollouts_.extract(from);
    if (node.empty() || from == to) {
        if (!node.empty()) {
            rollouts_.insert(std::move(node));
        }
        return;
    }
    for (const auto& [source, counts] : node.mapped().by_source) {
        merge({to, source, counts.first, counts.second, node.mapped().detected_fault,
               node.mapped().recorded_result});
    }
}

auto rollout_evidence::keep_only(const std::set<rollout_key>& rollouts) -> void
{
    std::erase_if(rollouts_, [&](const auto& item) { return !rollouts.contains(item.first); });
}

} // namespace knapweedchute
