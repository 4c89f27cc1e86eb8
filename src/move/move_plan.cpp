#include <knapweedchute/move/move_judge.hpp>
#include <knapweedchute/move/move_plan.hpp>

#include <algorithm>

namespace knapweedchute {
namespace {

constexpr auto queries_per_step = std::uint64_t{50};
constexpr auto queries_of_proof = std::uint64_t{1'000};
constexpr auto whole = std::int64_t{1'000};
/// Queries without which nothing is known of a version, not even after a trial in one step.
constexpr auto fewest_queries = std::uint64_t{20};

} // namespace

auto decide_move(const move_spec& spec, const move_view& view) -> move_decision
{
    if (view.recorded != move_result::running) {
        return {view.recorded == move_result::finished ? whole : 0, move_result::running,
                move_fault::none};
    }
    const auto fault =
        view.latched != move_fault::none ? view.latched : judge(view.old_version, view.new_version);
    if (fault != move_fault::none) {
        return {0, move_result::taken_back, fault};
    }
    const auto last = spec.steps_permil.size() - 1;
    const auto step = std::min<std::size_t>(view.new_version.queries / queries_per_step, last);
    const auto proved = view.new_version.queries >= queries_per_step * last + queries_of_proof;
    const auto due = view.unix_s >= spec.finish_by_unix_s;
    const auto known = step == last && view.new_version.queries >= fewest_queries;
    if (proved || (due && known)) {
        return {whole, move_result::finished, move_fault::none};
    }
    if (due) {
        return {0, move_result::taken_back, move_fault::too_little_evidence};
    }
    return {spec.steps_permil[step], move_result::running, move_fault::none};
}

} // namespace knapweedchute
