#include <knapweedchute/core/address.hpp>

#include <arpa/inet.h>

#include <charconv>

namespace knapweedchute {

auto parse_address(std::string_view text, error& reason) -> std::optional<address>
{
    const auto colon = text.rfind(':');
    auto port = std::uint16_t{0};
    auto number = in_addr{};
    auto valid = colon != std::string_view::npos;
    if (valid) {
        const auto ip = std::string{text.substr(0, colon)};
        const auto* end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
        valid = parsed.ec == std::errc{} && parsed.ptr == end && port != 0 &&
                inet_pton(AF_INET, ip.c_str(), &number) == 1;
    }
    if (!valid) {
        reason = {
            error_code::invalid_value, {}, "expected IP:PORT, got '" + std::string{text} + "'"};
        return std::nullopt;
    }
    return address{ntohl(number.s_addr), port};
}

auto to_string(const address& value) -> std::string
{
    return ip_text(value) + ":" + std::to_string(value.port);
}

auto ip_text(const address& value) -> std::string
{
    auto text = std::string{};
    for (const auto shift : {24U, 16U, 8U, 0U}) {
        text += std::to_string((value.ip >> shift) & 0xffU);
        text += shift == 0U ? "" : ".";
    }
    return text;
}

} // namespace knapweedchute
