#pragma once

#include <knapweedchute/core/error.hpp>
#include <knapweedchute/core/outcome.hpp>

namespace knapweedchute {

/// \brief Reason why a request is refused, and whether it ran.
struct refusal
{
    error reason;                         ///< Error returned to the caller.
    outcome execution = outcome::not_run; ///< Whether the request ran, as far as known.

    [[nodiscard]] auto operator==(const refusal&) const -> bool = default;
};

} // namespace knapweedchute
