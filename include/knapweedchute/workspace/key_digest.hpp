#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace knapweedchute {

/// \brief Keyed digest of a caller's key; the key itself is kept nowhere.
struct key_digest
{
    static constexpr auto digest_bytes = std::size_t{16};

    std::array<std::uint8_t, digest_bytes> bytes{}; ///< SHA-256 over secret and key, cut.

    [[nodiscard]] auto operator<=>(const key_digest&) const = default;
};

/// \brief Returns the digest as lower-case hexadecimal text.
[[nodiscard]] auto to_hex(const key_digest& digest) -> std::string;

/// \brief Reads a digest from its hexadecimal text.
/// \returns The digest, or nothing if the text has another length or other characters.
[[nodiscard]] auto key_digest_from_hex(std::string_view text) -> std::optional<key_digest>;

/// \brief Hash of a digest, whose bytes are already evenly distributed.
struct key_digest_hash
{
    [[nodiscard]] auto operator()(const key_digest& digest) const noexcept -> std::size_t
    {
        auto value = std::size_t{0};
        std::memcpy(&value, digest.bytes.data(), sizeof(value));
        return value;
    }
};

/// \brief Computes digests of keys under one secret.
/// \detail All instances of a deployment use the same secret, so that the digests that one passes
///         on are understood by the others. Not thread-safe.
class key_digester
{
public:
    /// \param secret Secret text; digests under different secrets are unrelated.
    explicit key_digester(std::string_view secret);
    key_digester(const key_digester&) = delete;
    auto operator=(const key_digester&) -> key_digester& = delete;
    ~key_digester();

    /// \brief Returns the digest of a key.
    [[nodiscard]] auto digest(std::string_view key) const -> key_digest;

private:
    struct contexts;
    std::unique_ptr<contexts> contexts_;
};

} // namespace knapweedchute
