#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief Length of a record of a part, bytes.
inline constexpr auto record_bytes = std::size_t{16};

/// \brief The greatest records of all parts, greatest first, compared byte by byte.
/// \detail Equal records are all kept. A remainder shorter than a record is no record.
/// \param parts Bodies of the parts.
/// \param top   Most records to return.
[[nodiscard]] auto merge_records(const std::vector<std::string>& parts, std::size_t top)
    -> std::string;

} // namespace knapweedchute
