#include <knapweedchute/core/request_id.hpp>

#include <charconv>
#include <cstddef>
#include <vector>

namespace knapweedchute {
namespace {

constexpr auto field_count = std::size_t{5};
constexpr auto longest_id = std::size_t{256};

auto unsigned_text(const request_id& id) -> std::string
{
    return id.instance + "." + std::to_string(id.incarnation) + "." + std::to_string(id.sequence) +
           "." + std::to_string(id.expires_ms);
}

auto fields_of(std::string_view text) -> std::vector<std::string_view>
{
    auto fields = std::vector<std::string_view>{};
    while (fields.size() < field_count) {
        const auto dot = text.find('.');
        fields.push_back(text.substr(0, dot));
        if (dot == std::string_view::npos) {
            return fields;
        }
        text.remove_prefix(dot + 1);
    }
    return {};
}

auto parse_number(std::string_view text) -> std::optional<std::uint64_t>
{
    auto value = std::uint64_t{0};
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return value;
}

} // namespace

auto to_string(const request_id& id, const message_key& key) -> std::string
{
    const auto text = unsigned_text(id);
    return text + "." + to_hex(key.sign(text));
}

auto parse_request_id(std::string_view text, const message_key& key, error& reason)
    -> std::optional<request_id>
{
    reason = {error_code::malformed, "/request_id", "not an id issued by this system"};
    const auto fields =
        text.size() <= longest_id ? fields_of(text) : std::vector<std::string_view>{};
    if (fields.size() != field_count) {
        return std::nullopt;
    }
    const auto incarnation = parse_number(fields[1]);
    const auto sequence = parse_number(fields[2]);
    const auto expires = parse_number(fields[3]);
    if (!incarnation || !sequence || !expires) {
        return std::nullopt;
    }
    auto id = request_id{std::string{fields[0]}, *incarnation, *sequence, *expires};
    if (to_string(id, key) != text) {
        reason = {error_code::not_authentic, "/request_id", "the id was not issued by this system"};
        return std::nullopt;
    }
    return id;
}

} // namespace knapweedchute
