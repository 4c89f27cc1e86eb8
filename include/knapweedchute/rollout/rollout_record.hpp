#pragma once

#include <knapweedchute/rollout/rollout_result.hpp>

#include <cstdint>
#include <string>

namespace knapweedchute {

/// \brief State of one ordered rollout, shared by all instances through the platform's store.
struct rollout_record
{
    std::string to;                 ///< New version.
    std::uint64_t order = 0;        ///< Number of the order.
    std::int64_t begun_unix_ms = 0; ///< Start of the rollout, Unix milliseconds.
    bool promoted = false;          ///< Whether the new version receives all requests.
    rollout_result result = rollout_result::running; ///< Final result, or `running`.
    std::uint64_t era = 0; ///< History of the store that the order's number belongs to.

    [[nodiscard]] auto operator==(const rollout_record&) const -> bool = default;
};

} // namespace knapweedchute
