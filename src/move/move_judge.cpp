#include <knapweedchute/move/move_judge.hpp>

#include <array>
#include <cmath>
#include <utility>

namespace knapweedchute {
namespace {

constexpr auto fewest_failures = std::uint64_t{5};
constexpr auto fewest_old_queries = std::uint64_t{20};
constexpr auto standard_errors = 4.0;
constexpr auto gross_ratio = 2.0;

auto worse(std::uint64_t old_failures, std::uint64_t old_queries, std::uint64_t new_failures,
           std::uint64_t new_queries) noexcept -> bool
{
    if (new_failures < fewest_failures || old_queries < fewest_old_queries) {
        return false;
    }
    const auto old_count = static_cast<double>(old_queries);
    const auto new_count = static_cast<double>(new_queries);
    const auto old_share = static_cast<double>(old_failures) / old_count;
    const auto new_share = static_cast<double>(new_failures) / new_count;
    const auto both = static_cast<double>(old_failures + new_failures) / (old_count + new_count);
    const auto deviation = std::sqrt(both * (1.0 - both) * (1.0 / old_count + 1.0 / new_count));
    return new_share > old_share * gross_ratio &&
           new_share - old_share > deviation * standard_errors;
}

} // namespace

auto judge(const version_tally& old_version, const version_tally& new_version) noexcept
    -> move_fault
{
    struct kind
    {
        move_fault fault;
        std::uint64_t version_tally::*failures;
        std::uint64_t version_tally::*observations;
    };
    constexpr auto kinds = std::array{
        kind{move_fault::incomplete, &version_tally::incomplete, &version_tally::queries},
        kind{move_fault::empty, &version_tally::empty, &version_tally::queries},
        kind{move_fault::slow, &version_tally::slow, &version_tally::intervals}};
    for (const auto& [fault, failures, observations] : kinds) {
        if (worse(old_version.*failures, old_version.*observations, new_version.*failures,
                  new_version.*observations)) {
            return fault;
        }
    }
    return move_fault::none;
}

} // namespace knapweedchute
