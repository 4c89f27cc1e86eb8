#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace knapweedchute {

/// \brief Shared secret that authenticates messages between instances and issued request ids.
class message_key
{
public:
    /// \brief Length of an authentication code in bytes.
    static constexpr auto code_bytes = std::size_t{16};

    /// \brief Authentication code: HMAC-SHA-256 cut to 128 bits.
    using code = std::array<std::uint8_t, code_bytes>;

    /// \param secret Secret text from the settings.
    explicit message_key(std::string secret);

    /// \brief Code of `bytes` under this key.
    [[nodiscard]] auto sign(std::string_view bytes) const -> code;

    /// \brief Whether `tag` is the code of `bytes`, compared in constant time.
    [[nodiscard]] auto verify(std::string_view bytes, const code& tag) const -> bool;

private:
    std::string secret_;
};

/// \brief Lower-case hexadecimal text of a code.
[[nodiscard]] auto to_hex(const message_key::code& value) -> std::string;

} // namespace knapweedchute
