#include <knapweedchute/core/gauge_text.hpp>

#include <cstdio>

namespace knapweedchute {

auto gauge_text(std::string_view name, std::string_view labels, double value) -> std::string
{
    const auto full = "knapweedchute_" + std::string{name};
    char number[32];
    std::snprintf(number, sizeof(number), "%.10g", value);
    const auto braced = labels.empty() ? std::string{} : "{" + std::string{labels} + "}";
    return "# TYPE " + full + " gauge\n" + full + braced + " " + number + "\n";
}

} // namespace knapweedchute
