#include <knapweedchute/core/error.hpp>

namespace knapweedchute {

auto to_string(const error& value) -> std::string
{
    auto text = std::string{to_string(value.code)};
    if (!value.where.empty()) {
        text += " at " + value.where;
    }
    return text + ": " + value.what;
}

} // namespace knapweedchute
