#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief Length of a record, bytes.
inline constexpr auto record_bytes = std::size_t{16};

/// \brief Merges the records of all parts and returns the greatest, in descending byte order.
/// \detail Keeps all equal records. Ignores trailing bytes shorter than a record.
/// \param parts Bodies of the parts, each a sequence of records.
/// \param top   Maximum number of records to return.
[[nodiscard]] auto merge_records(const std::vector<std::string>& parts, std::size_t top)
    -> std::string;

} // namespace knapweedchute
