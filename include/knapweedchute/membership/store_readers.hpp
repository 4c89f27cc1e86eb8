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

} // namespace knapweedchute
