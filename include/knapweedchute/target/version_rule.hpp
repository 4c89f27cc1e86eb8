#pragma once

#include <cstdint>
#include <string>

namespace knapweedchute {

/// \brief How much of a service's requests the targets of one version get.
enum class version_use : std::uint8_t
{
    held,     ///< None.
    on_trial, ///< A small share.
    preferred ///< All, while any of them can be used.
};

/// \brief Rule for one version of a service; other versions are the old ones.
struct version_rule
{
    std::string version;                 ///< Version that the rule is about.
    version_use use = version_use::held; ///< What its targets get.
    std::int64_t share_permil = 0;       ///< Share while on trial, in thousandths.

    [[nodiscard]] auto operator==(const version_rule&) const -> bool = default;
};

} // namespace knapweedchute
