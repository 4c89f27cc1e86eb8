#include <knapweedchute/wire/envelope.hpp>

#include <algorithm>
#include <utility>

namespace knapweedchute {
namespace {

constexpr auto magic = std::string_view{"KWCH"};

} // namespace

envelope::envelope(std::string deployment, message_key key)
    : deployment_{std::move(deployment)}, key_{std::move(key)}
{
}

auto envelope::sign_body(const std::string& body) const -> std::string
{
    const auto tag = key_.sign(deployment_ + '\0' + body);
    auto bytes = std::string{magic};
    bytes += static_cast<char>(format_version);
    bytes.append(tag.begin(), tag.end());
    return bytes + body;
}

auto envelope::verify_body(std::string_view bytes, error& reason) const
    -> std::optional<std::string_view>
{
    if (bytes.size() < header_bytes || !bytes.starts_with(magic)) {
        reason = {error_code::malformed, "header", "not a message of this system"};
        return std::nullopt;
    }
    if (static_cast<std::uint8_t>(bytes[magic.size()]) != format_version) {
        reason = {error_code::invalid_value, "header", "another format version"};
        return std::nullopt;
    }
    auto tag = message_key::code{};
    std::copy_n(bytes.begin() + magic.size() + 1, tag.size(), tag.begin());
    const auto body = bytes.substr(header_bytes);
    if (!key_.verify(deployment_ + '\0' + std::string{body}, tag)) {
        reason = {error_code::not_authentic, "header", "wrong key or deployment"};
        return std::nullopt;
    }
    return body;
}

} // namespace knapweedchute
