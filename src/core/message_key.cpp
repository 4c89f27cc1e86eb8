#include <knapweedchute/core/message_key.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <utility>

namespace knapweedchute {

message_key::message_key(std::string secret) : secret_{std::move(secret)} {}

auto message_key::sign(std::string_view bytes) const -> code
{
    auto digest = std::array<std::uint8_t, EVP_MAX_MD_SIZE>{};
    auto length = 0U;
    HMAC(EVP_sha256(), secret_.data(), static_cast<int>(secret_.size()),
         reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data(),
         &length);
    auto tag = code{};
    std::copy_n(digest.begin(), code_bytes, tag.begin());
    return tag;
}

auto message_key::verify(std::string_view bytes, const code& tag) const -> bool
{
    const auto expected = sign(bytes);
    return CRYPTO_memcmp(expected.data(), tag.data(), code_bytes) == 0;
}

auto to_hex(const message_key::code& value) -> std::string
{
    static constexpr auto digits = std::string_view{"0123456789abcdef"};
    auto text = std::string{};
    for (const auto byte : value) {
        text += digits[byte >> 4U];
        text += digits[byte & 0xfU];
    }
    return text;
}

} // namespace knapweedchute
