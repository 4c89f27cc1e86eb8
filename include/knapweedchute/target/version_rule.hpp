#pragma once

#include <cstdint>
#include <string>

namespace knapweedchute {

/// \brief Which requests of a service the targets of one version receive.
enum class version_use : std::uint8_t
{
    held,     ///< None.
    on_trial, ///< A small share of the requests.
    preferred ///< All, while any of these targets is usable.
};

/// \brief Request share of the new version of a service; all other versions are old ones.
struct version_rule
{
    std::string version;                 ///< Version to which the rule applies.
    version_use use = version_use::held; ///< Requests that its targets receive.
    std::int64_t share_permil = 0;       ///< Share in thousandths, for `on_trial`.

    [[nodiscard]] auto operator==(const version_rule&) const -> bool = default;
};

} // namespace knapweedchute
