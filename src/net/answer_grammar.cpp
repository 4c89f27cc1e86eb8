#include <knapweedchute/net/answer_grammar.hpp>

#include <algorithm>

namespace knapweedchute {
namespace {

constexpr auto line_end = std::string_view{"\r\n"};
constexpr auto head_end = std::string_view{"\r\n\r\n"};

/// RFC 9110, section 5.6.2.
auto is_token_character(char character) noexcept -> bool
{
    constexpr auto characters = std::string_view{"!#$%&'*+-.^_`|~0123456789"
                                                 "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                                 "abcdefghijklmnopqrstuvwxyz"};
    return characters.find(character) != std::string_view::npos;
}

} // namespace

auto is_field_line(std::string_view line) noexcept -> bool
{
    const auto name = line.substr(0, line.find(':'));
    return !name.empty() && name.size() < line.size() &&
           std::all_of(name.begin(), name.end(), is_token_character);
}

auto has_folded_line(std::string_view unparsed) noexcept -> bool
{
    if (unparsed.starts_with(line_end)) {
        return false;
    }
    const auto head = unparsed.substr(0, unparsed.find(head_end));
    for (auto end = head.find(line_end); end != std::string_view::npos;
         end = head.find(line_end, end + line_end.size())) {
        const auto next = end + line_end.size();
        if (next < head.size() && (head[next] == ' ' || head[next] == '\t')) {
            return true;
        }
    }
    return false;
}

} // namespace knapweedchute
