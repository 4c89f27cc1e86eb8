#pragma once

#include <knapweedchute/config/service_spec.hpp>
#include <knapweedchute/query/version_tally.hpp>
#include <knapweedchute/rollout/rollout_result.hpp>

#include <cereal/cereal.hpp>

#include <cstdint>

namespace knapweedchute {

/// \brief Identity of a rollout: a hash of the fields that distinguish it from other rollouts.
using rollout_key = std::uint64_t;

/// \brief Identity of the rollout that a service declares.
///
/// \param service Service; `std::bad_optional_access` is thrown if it declares no rollout.
/// \returns Hash of the service, its version, the new version and the deadline.
[[nodiscard]] auto key_of_rollout(const service_spec& service) -> rollout_key;

/// \brief Counts of one instance for one rollout, with the fault and the result recorded there.
struct evidence_row
{
    rollout_key rollout = 0;                            ///< Rollout that the counts belong to.
    std::uint64_t source = 0;                           ///< Hash of instance and incarnation.
    version_tally old_version;                          ///< Counts of the old version.
    version_tally new_version;                          ///< Counts of the new version.
    rollout_fault detected_fault = rollout_fault::none; ///< Detected fault, or `none`.
    rollout_result recorded_result = rollout_result::running; ///< Final result, once it is stored.

    [[nodiscard]] auto operator==(const evidence_row&) const -> bool = default;
};

template <typename Archive>
auto serialize(Archive& archive, version_tally& value) -> void
{
    archive(value.queries, value.incomplete, value.empty, value.slow, value.intervals);
}

template <typename Archive>
auto save(Archive& archive, const evidence_row& value) -> void
{
    archive(value.rollout, value.source, value.old_version, value.new_version,
            static_cast<std::uint8_t>(value.detected_fault),
            static_cast<std::uint8_t>(value.recorded_result));
}

template <typename Archive>
auto load(Archive& archive, evidence_row& value) -> void
{
    auto detected_fault = std::uint8_t{0};
    auto recorded_result = std::uint8_t{0};
    archive(value.rollout, value.source, value.old_version, value.new_version, detected_fault,
            recorded_result);
    const auto valid =
        detected_fault <= static_cast<std::uint8_t>(rollout_fault::too_little_evidence) &&
        recorded_result <= static_cast<std::uint8_t>(rollout_result::rolled_back);
    if (!valid) {
        throw cereal::Exception{"unknown fault or result of a rollout"};
    }
    value.detected_fault = static_cast<rollout_fault>(detected_fault);
    value.recorded_result = static_cast<rollout_result>(recorded_result);
}

} // namespace knapweedchute
