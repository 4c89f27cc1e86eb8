#pragma once

#include <cstdint>
#include <string_view>

namespace knapweedchute {

/// \brief Where a move between versions stands.
enum class move_result : std::uint8_t
{
    running,   ///< Traffic shifts as evidence comes in.
    finished,  ///< The new version serves everything.
    taken_back ///< The old version serves everything.
};

/// \brief Why a move was taken back.
enum class move_fault : std::uint8_t
{
    none,
    incomplete,         ///< More queries lost shards or failed than on the old version.
    empty,              ///< More answers were empty.
    slow,               ///< More queries were slow.
    too_little_evidence ///< The set time came before enough queries had.
};

/// \brief Name of a result: `running`, `finished` or `taken_back`.
[[nodiscard]] auto to_string(move_result result) noexcept -> std::string_view;

/// \brief Name of a fault.
[[nodiscard]] auto to_string(move_fault fault) noexcept -> std::string_view;

} // namespace knapweedchute
