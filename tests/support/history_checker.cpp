#include "history_checker.hpp"

#include <algorithm>
#include <set>

namespace knapweedchute::test {
namespace {

constexpr auto lateness = milliseconds{1};

auto check_answer(const driven_result& ended, const query_answer& answer,
                  std::vector<violation>& found) -> void
{
    const auto broken = [&](const char* rule) { found.push_back({rule, ended.query}); };
    if (answer.answered + answer.missing.size() != answer.shards) {
        broken("coverage does not add up");
    }
    const auto missing = std::set<std::uint32_t>{answer.missing.begin(), answer.missing.end()};
    auto seen = std::set<std::string>{};
    for (const auto& item : answer.hits) {
        const auto prefix = "s" + std::to_string(answer.snapshot) + "d";
        if (!item.document.starts_with(prefix)) {
            broken("hit of another snapshot");
        }
        if (missing.contains(static_cast<std::uint32_t>(item.score))) {
            broken("hit of a missing shard");
        }
        if (!seen.insert(item.document).second) {
            broken("shard counted twice");
        }
    }
    const auto kept = std::min<std::size_t>(answer.answered, 10);
    if (answer.hits.size() != kept) {
        broken("answered shard without its hit");
    }
}

} // namespace

auto check_history(const std::vector<driven_result>& history) -> std::vector<violation>
{
    auto found = std::vector<violation>{};
    auto ended_queries = std::set<query_key>{};
    for (const auto& ended : history) {
        if (!ended_queries.insert(ended.query).second) {
            found.push_back({"answered twice", ended.query});
        }
        if (ended.ended > ended.deadline + lateness) {
            found.push_back({"ended after its deadline", ended.query});
        }
        if (const auto* answer = std::get_if<query_answer>(&ended.result)) {
            check_answer(ended, *answer, found);
        }
    }
    return found;
}

auto check_executions(const std::map<address, fake_target>& targets) -> std::vector<violation>
{
    auto total = std::map<std::string, int>{};
    for (const auto& [where, target] : targets) {
        for (const auto& [id, count] : target.executions) {
            total[id] += count;
        }
    }
    auto found = std::vector<violation>{};
    for (const auto& [id, count] : total) {
        if (count > 1) {
            found.push_back({"ran twice: " + id, 0});
        }
    }
    return found;
}

} // namespace knapweedchute::test
