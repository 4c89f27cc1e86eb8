#include <knapweedchute/workspace/key_digest.hpp>

#include <openssl/evp.h>

#include <algorithm>

namespace knapweedchute {
namespace {

constexpr auto hex_digits = std::string_view{"0123456789abcdef"};
constexpr auto bits_per_digit = 4U;

struct context_deleter
{
    auto operator()(EVP_MD_CTX* context) const noexcept -> void { EVP_MD_CTX_free(context); }
};

using context_pointer = std::unique_ptr<EVP_MD_CTX, context_deleter>;

} // namespace

/// The secret is hashed once; each digest continues from a copy of that state.
struct key_digester::contexts
{
    context_pointer prepared{EVP_MD_CTX_new()};
    context_pointer working{EVP_MD_CTX_new()};
};

key_digester::key_digester(std::string_view secret) : contexts_{std::make_unique<contexts>()}
{
    EVP_DigestInit_ex(contexts_->prepared.get(), EVP_sha256(), nullptr);
    EVP_DigestUpdate(contexts_->prepared.get(), secret.data(), secret.size());
    // Separates the secret from the key, so that no pair of them is another pair's text.
    const auto separator = '\0';
    EVP_DigestUpdate(contexts_->prepared.get(), &separator, sizeof(separator));
}

key_digester::~key_digester() = default;

auto key_digester::digest(std::string_view key) const -> key_digest
{
    auto* const context = contexts_->working.get();
    auto full = std::array<std::uint8_t, EVP_MAX_MD_SIZE>{};
    auto length = 0U;
    EVP_MD_CTX_copy_ex(context, contexts_->prepared.get());
    EVP_DigestUpdate(context, key.data(), key.size());
    EVP_DigestFinal_ex(context, full.data(), &length);
    auto result = key_digest{};
    std::copy_n(full.begin(), result.bytes.size(), result.bytes.begin());
    return result;
}

auto to_hex(const key_digest& digest) -> std::string
{
    auto text = std::string{};
    text.reserve(digest.bytes.size() * 2);
    for (const auto byte : digest.bytes) {
        text.push_back(hex_digits[byte >> bits_per_digit]);
        text.push_back(hex_digits[byte & 0x0FU]);
    }
    return text;
}

auto key_digest_from_hex(std::string_view text) -> std::optional<key_digest>
{
    auto digest = key_digest{};
    if (text.size() != digest.bytes.size() * 2) {
        return std::nullopt;
    }
    for (auto index = std::size_t{0}; index < digest.bytes.size(); ++index) {
        const auto high = hex_digits.find(text[2 * index]);
        const auto low = hex_digits.find(text[2 * index + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos) {
            return std::nullopt;
        }
        digest.bytes[index] = static_cast<std::uint8_t>((high << bits_per_digit) | low);
    }
    return digest;
}

} // namespace knapweedchute
