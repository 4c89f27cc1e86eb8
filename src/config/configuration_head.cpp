#include <knapweedchute/config/configuration_head.hpp>
#include <knapweedchute/config/object_reader.hpp>

#include <xxhash.h>

#include <array>
#include <cstdio>
#include <limits>

namespace knapweedchute {
namespace {

constexpr auto max_parts = std::int64_t{64};
constexpr auto max_integer = std::numeric_limits<std::int64_t>::max();

} // namespace

auto digest_of(std::string_view text) -> std::string
{
    constexpr auto hex_digits = std::size_t{32};
    const auto hash = XXH3_128bits(text.data(), text.size());
    auto buffer = std::array<char, hex_digits + 1>{};
    std::snprintf(buffer.data(), buffer.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return buffer.data();
}

auto encode_head(const configuration_head& head) -> std::string
{
    return nlohmann::json{{"version", head.version},
                          {"change", head.change},
                          {"digest", head.digest},
                          {"parts", head.parts},
                          {"previous_change", head.previous_change},
                          {"previous_parts", head.previous_parts},
                          {"recent_changes", head.recent_changes}}
        .dump();
}

auto decode_head(std::string_view text, error& reason) -> std::optional<configuration_head>
{
    return decode_object(text, reason, [](auto& reader) {
        auto head = configuration_head{};
        head.version = static_cast<std::uint64_t>(reader.integer("version", 1, max_integer));
        head.change = reader.text("change");
        head.digest = reader.text("digest");
        head.parts = static_cast<std::uint64_t>(reader.integer("parts", 1, max_parts));
        head.previous_change = reader.text_or("previous_change", {});
        head.previous_parts =
            static_cast<std::uint64_t>(reader.integer_or("previous_parts", 0, max_parts, 0));
        reader.each("recent_changes", [&](const auto& element, const auto&) {
            if (element.is_string()) {
                head.recent_changes.push_back(element.template get<std::string>());
            }
        });
        return head;
    });
}

} // namespace knapweedchute
