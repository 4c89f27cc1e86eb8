#pragma once

#include <knapweedchute/core/error.hpp>
#include <knapweedchute/store/stored_value.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace knapweedchute {

/// \brief Interface to the operations of the platform's key-value service that this system uses.
class key_value_store
{
public:
    key_value_store() = default;
    key_value_store(const key_value_store&) = delete;
    auto operator=(const key_value_store&) -> key_value_store& = delete;
    virtual ~key_value_store() = default;

    /// \brief Reads a key.
    /// \returns The value, with revision 0 if the key is absent; nothing and `reason` on failure.
    [[nodiscard]] virtual auto read(std::string_view key, error& reason)
        -> std::optional<stored_value> = 0;

    /// \brief Writes a key if its current revision equals `expected`; 0 means absent.
    /// \param reason `conflict` if the revision differs, `store_unavailable` if the value was
    ///               certainly not written, `outcome_unknown` if it may have been written.
    /// \returns The new revision, or nothing and `reason` on failure.
    [[nodiscard]] virtual auto compare_and_swap(std::string_view key, std::uint64_t expected,
                                                const std::string& value, error& reason)
        -> std::optional<std::uint64_t> = 0;

    /// \brief Removes a key that nothing refers to; failures are ignored.
    virtual auto remove(std::string_view key) -> void = 0;
};

} // namespace knapweedchute
