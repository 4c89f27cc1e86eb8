#include <knapweedchute/core/parsed_line.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace knapweedchute {
namespace {

/// Reads `key=value` pairs to the end, values quoted where they hold spaces.
auto read_fields(std::istream& text) -> std::vector<std::pair<std::string, std::string>>
{
    auto fields = std::vector<std::pair<std::string, std::string>>{};
    auto key = std::string{};
    while (std::getline(text >> std::ws, key, '=')) {
        auto value = std::string{};
        if (text.peek() == '"') {
            text >> std::quoted(value);
        } else if (text.peek() != ' ') {
            text >> value;
        }
        fields.emplace_back(key, value);
    }
    return fields;
}

} // namespace

auto parsed_line::value(std::string_view key) const -> std::string
{
    const auto found = std::find_if(fields.begin(), fields.end(),
                                    [&](const auto& field) { return field.first == key; });
    return found == fields.end() ? std::string{} : found->second;
}

auto parse_line(std::string_view text) -> std::optional<parsed_line>
{
    constexpr auto level_mark = std::string_view{"level="};
    const auto level = text.find(level_mark);
    const auto level_end = text.find(' ', level);
    if (level == std::string_view::npos || level_end == std::string_view::npos) {
        return std::nullopt;
    }
    const auto rest = text.substr(level_end + 1);
    const auto colon = rest.find(": ");
    const auto stop = rest.find('.', colon);
    if (colon == std::string_view::npos || stop == std::string_view::npos) {
        return std::nullopt;
    }
    auto line = parsed_line{};
    const auto before = text.substr(0, level);
    const auto time_end = before.find_last_not_of(' ');
    if (time_end != std::string_view::npos) {
        const auto begin = before.find_last_of(' ', time_end);
        line.time = before.substr(begin == std::string_view::npos ? 0 : begin + 1,
                                  time_end - (begin == std::string_view::npos ? 0 : begin + 1) + 1);
    }
    line.part = rest.substr(0, colon);
    line.sentence = rest.substr(colon + 2, stop - colon - 1);
    auto pairs = std::istringstream{std::string{rest.substr(stop + 1)}};
    line.fields = read_fields(pairs);
    return line;
}

} // namespace knapweedchute
