#pragma once

#include <cereal/cereal.hpp>
#include <cereal/types/common.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief Saves the length of a string, then its bytes.
template <typename Archive>
auto save_bounded(Archive& archive, const std::string& text) -> void
{
    archive(static_cast<std::uint32_t>(text.size()));
    archive(cereal::binary_data(text.data(), text.size()));
}

/// \brief Loads a string and checks its length before memory is allocated.
/// \param limit Maximum length in bytes.
/// \throws cereal::Exception if the length is above `limit`.
template <typename Archive>
auto load_bounded(Archive& archive, std::string& text, std::size_t limit) -> void
{
    auto length = std::uint32_t{0};
    archive(length);
    if (length > limit) {
        throw cereal::Exception{"text is longer than its limit"};
    }
    text.resize(length);
    archive(cereal::binary_data(text.data(), text.size()));
}

/// \brief Saves the number of items of a vector, then the items.
template <typename Archive, typename Item>
auto save_bounded(Archive& archive, const std::vector<Item>& items) -> void
{
    archive(static_cast<std::uint32_t>(items.size()));
    for (const auto& item : items) {
        archive(item);
    }
}

/// \brief Loads a vector and checks its number of items before memory is allocated.
/// \param limit Maximum number of items.
/// \throws cereal::Exception if the number is above `limit`.
template <typename Archive, typename Item>
auto load_bounded(Archive& archive, std::vector<Item>& items, std::size_t limit) -> void
{
    auto length = std::uint32_t{0};
    archive(length);
    if (length > limit) {
        throw cereal::Exception{"list is longer than its limit"};
    }
    items.resize(length);
    for (auto& item : items) {
        archive(item);
    }
}

} // namespace knapweedchute
