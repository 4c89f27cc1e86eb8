#pragma once

#include <knapweedchute/core/error.hpp>
#include <knapweedchute/store/stored_value.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace knapweedchute {

/// \brief The platform's key-value service as this system uses it.
class key_value_store
{
public:
    key_value_store() = default;
    key_value_store(const key_value_store&) = delete;
    auto operator=(const key_value_store&) -> key_value_store& = delete;
    virtual ~key_value_store() = default;

    /// \brief Reads a key; an absent key has revision 0.
    [[nodiscard]] virtual auto read(std::string_view key, error& reason)
        -> std::optional<stored_value> = 0;

    /// \brief Writes a key if its revision is still `expected`.
    /// \param reason `conflict` if it is not, `store_unavailable` if provably not written,
    ///               `outcome_unknown` if the answer was lost.
    /// \returns The new revision.
    [[nodiscard]] virtual auto compare_and_swap(std::string_view key, std::uint64_t expected,
                                                const std::string& value, error& reason)
        -> std::optional<std::uint64_t> = 0;

    /// \brief Removes a key; used only for values that nothing refers to.
    virtual auto remove(std::string_view key) -> void = 0;
};

} // namespace knapweedchute
