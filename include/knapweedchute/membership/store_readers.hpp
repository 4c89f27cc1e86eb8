#pragma once

#include <knapweedchute/membership/member.hpp>

#include <cstddef>
#include <vector>

namespace knapweedchute {

/// \brief Whether an instance reads the store for its availability zone.
///
/// \detail The first `count` serving members of the zone in name order are its readers. While
///         instances have different member lists, a zone may temporarily have more or fewer
///         readers, which is harmless.
/// \param members Known instances.
/// \param self    Instance to check.
/// \param count   Readers per availability zone.
[[nodiscard]] auto is_store_reader(const std::vector<member>& members, const member& self,
                                   std::size_t count) -> bool;

/// \brief Returns the instances that read the store for their availability zones.
///
/// \detail The same members for which `is_store_reader` holds, found in one pass.
/// \param members Known instances.
/// \param count   Readers per availability zone.
/// \returns The serving readers, ordered by zone and name.
[[nodiscard]] auto store_readers(const std::vector<member>& members, std::size_t count)
    -> std::vector<member>;

/// \brief Returns how many instances of each availability zone read the store.
/// \detail All of a small fleet, where each learns a change without a detour. In a larger one, few
///         enough that the calls do not grow with the fleet, and enough that the loss of one leaves
///         others.
/// \param members Known instances.
/// \returns Readers per availability zone, at least 1.
[[nodiscard]] auto store_readers_per_zone(const std::vector<member>& members) -> std::size_t;

/// \brief Members up to which a fleet is small: every instance reads the store itself.
inline constexpr auto max_direct_members = std::size_t{9};

/// \brief Whether some instances of the fleet follow others instead of reading the store.
[[nodiscard]] auto has_followers(const std::vector<member>& members) -> bool;

} // namespace knapweedchute
