#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief A declared rollout of another version of a service.
struct rollout_spec
{
    std::string to;                         ///< New version.
    std::int64_t finish_by_unix_s = 0;      ///< Deadline, in seconds of the Unix clock.
    std::vector<std::int64_t> steps_permil; ///< Query shares of the new version, ascending.

    [[nodiscard]] auto operator==(const rollout_spec&) const -> bool = default;
};

} // namespace knapweedchute
