#include <knapweedchute/relay/http_field.hpp>

#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>

#include <algorithm>
#include <array>

namespace knapweedchute {
namespace {

// RFC 9110, section 7.6.1, and older hop-by-hop headers.
constexpr auto connection_fields = std::array<std::string_view, 8>{
    "connection", "keep-alive",        "proxy-connection", "te",
    "trailer",    "transfer-encoding", "upgrade",          "expect"};

/// Names are ASCII, whatever the locale of the process is.
constexpr auto lower_case(char letter) noexcept -> char
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

} // namespace

auto same_name(std::string_view left, std::string_view right) noexcept -> bool
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char one, char other) { return lower_case(one) == lower_case(other); });
}

auto find_field(const field_list& fields, std::string_view name) noexcept -> const http_field*
{
    const auto found = std::find_if(fields.begin(), fields.end(),
                                    [&](const auto& field) { return same_name(field.name, name); });
    return found == fields.end() ? nullptr : &*found;
}

auto field_value(const field_list& fields, std::string_view name) noexcept -> std::string_view
{
    const auto* const found = find_field(fields, name);
    return found == nullptr ? std::string_view{} : std::string_view{found->value};
}

auto remove_field(field_list& fields, std::string_view name) -> void
{
    std::erase_if(fields, [&](const auto& field) { return same_name(field.name, name); });
}

auto append_field(std::string& text, std::string_view name, std::string_view value) -> void
{
    text.append(name).append(": ").append(value).append("\r\n");
}

auto without_blanks(std::string_view text) noexcept -> std::string_view
{
    constexpr auto blanks = std::string_view{" \t"};
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

auto remove_connection_fields(field_list& fields) -> void
{
    auto named = std::vector<std::string>{};
    for (const auto& field : fields) {
        if (same_name(field.name, "connection")) {
            auto tokens = std::vector<std::string>{};
            boost::algorithm::split(tokens, field.value, [](char letter) { return letter == ','; });
            named.insert(named.end(), tokens.begin(), tokens.end());
        }
    }
    for (auto& token : named) {
        boost::algorithm::trim(token);
    }
    std::erase_if(fields, [&](const auto& field) {
        const auto same = [&](std::string_view name) { return same_name(field.name, name); };
        return std::any_of(connection_fields.begin(), connection_fields.end(), same) ||
               std::any_of(named.begin(), named.end(), same);
    });
}

auto remove_message_fields(field_list& fields) -> void
{
    remove_field(fields, "content-length");
    remove_connection_fields(fields);
}

} // namespace knapweedchute
