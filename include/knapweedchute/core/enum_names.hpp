#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace knapweedchute {

/// \brief Names of the values of an enumeration, in the order of the values.
///
/// \detail Kept beside the function that gives them out:
/// \code
/// constexpr auto names = enum_names<colour, 2>{{{colour::red, "red"}, {colour::blue, "blue"}}};
/// static_assert(is_complete(names, colour::blue));
/// \endcode
template <typename Enum, std::size_t Count>
using enum_names = std::array<std::pair<Enum, std::string_view>, Count>;

/// \brief Whether every value from 0 to `last` has its name in its place.
template <typename Enum, std::size_t Count>
[[nodiscard]] constexpr auto is_complete(const enum_names<Enum, Count>& names, Enum last) noexcept
    -> bool
{
    for (auto index = std::size_t{0}; index < Count; ++index) {
        if (static_cast<std::size_t>(names[index].first) != index) {
            return false;
        }
    }
    return static_cast<std::size_t>(last) + 1 == Count;
}

/// \brief Name of a value; `invalid` for what is no value of the enumeration.
template <typename Enum, std::size_t Count>
[[nodiscard]] constexpr auto name_of(const enum_names<Enum, Count>& names, Enum value) noexcept
    -> std::string_view
{
    const auto index = static_cast<std::size_t>(value);
    return index < Count ? names[index].second : std::string_view{"invalid"};
}

/// \brief Value that has a name, if any.
template <typename Enum, std::size_t Count>
[[nodiscard]] constexpr auto value_of(const enum_names<Enum, Count>& names,
                                      std::string_view name) noexcept -> std::optional<Enum>
{
    const auto found = std::find_if(names.begin(), names.end(),
                                    [&](const auto& known) { return known.second == name; });
    return found == names.end() ? std::nullopt : std::optional{found->first};
}

} // namespace knapweedchute
