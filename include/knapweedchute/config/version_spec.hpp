#pragma once

#include <knapweedchute/config/target_spec.hpp>

#include <string>
#include <vector>

namespace knapweedchute {

/// \brief One version of a service and the targets that run it.
struct version_spec
{
    std::string name;                 ///< Name of the version.
    std::vector<target_spec> targets; ///< Targets of this version.

    [[nodiscard]] auto operator==(const version_spec&) const -> bool = default;
};

} // namespace knapweedchute
