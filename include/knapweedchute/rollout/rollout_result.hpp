#pragma once

#include <cstdint>
#include <string_view>

namespace knapweedchute {

/// \brief Result of a rollout, or `running` before its end.
enum class rollout_result : std::uint8_t
{
    running,    ///< Traffic shifts to the new version as evidence accumulates.
    finished,   ///< The new version receives all requests.
    rolled_back ///< The old version receives all requests.
};

/// \brief Reason for which a rollout was rolled back.
enum class rollout_fault : std::uint8_t
{
    none,
    incomplete,         ///< More queries failed or lost shards than on the old version.
    empty,              ///< More answers were empty.
    slow,               ///< More queries were slow.
    too_little_evidence ///< The deadline passed before enough queries were answered.
};

/// \brief Name of a result in reports and logs: `running`, `finished` or `taken_back`, which
///        stands for `rolled_back`.
[[nodiscard]] auto to_string(rollout_result result) noexcept -> std::string_view;

/// \brief Name of a fault.
[[nodiscard]] auto to_string(rollout_fault fault) noexcept -> std::string_view;

} // namespace knapweedchute
