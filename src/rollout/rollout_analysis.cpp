#include <knapweedchute/rollout/rollout_analysis.hpp>

#include <array>
#include <cmath>
#include <utility>

namespace knapweedchute {
namespace {

constexpr auto min_failures = std::uint64_t{5};
constexpr auto min_old_observations = std::uint64_t{20};
constexpr auto min_standard_errors = 4.0;
constexpr auto min_share_ratio = 2.0;

auto is_significantly_worse(std::uint64_t old_failures, std::uint64_t old_observations,
                            std::uint64_t new_failures, std::uint64_t new_observations) noexcept
    -> bool
{
    if (new_failures < min_failures || old_observations < min_old_observations) {
        return false;
    }
    const auto old_count = static_cast<double>(old_observations);
    const auto new_count = static_cast<double>(new_observations);
    const auto old_share = static_cast<double>(old_failures) / old_count;
    const auto new_share = static_cast<double>(new_failures) / new_count;
    const auto pooled_share =
        static_cast<double>(old_failures + new_failures) / (old_count + new_count);
    const auto standard_error =
        std::sqrt(pooled_share * (1.0 - pooled_share) * (1.0 / old_count + 1.0 / new_count));
    return new_share > old_share * min_share_ratio &&
           new_share - old_share > standard_error * min_standard_errors;
}

} // namespace

auto detect_fault(const version_tally& old_version, const version_tally& new_version) noexcept
    -> rollout_fault
{
    struct failure_kind
    {
        rollout_fault fault;
        std::uint64_t version_tally::*failures;
        std::uint64_t version_tally::*observations;
    };
    constexpr auto failure_kinds = std::array{
        failure_kind{rollout_fault::incomplete, &version_tally::incomplete,
                     &version_tally::queries},
        failure_kind{rollout_fault::empty, &version_tally::empty, &version_tally::queries},
        failure_kind{rollout_fault::slow, &version_tally::slow, &version_tally::intervals}};
    for (const auto& [fault, failures, observations] : failure_kinds) {
        if (is_significantly_worse(old_version.*failures, old_version.*observations,
                                   new_version.*failures, new_version.*observations)) {
            return fault;
        }
    }
    return rollout_fault::none;
}

} // namespace knapweedchute
