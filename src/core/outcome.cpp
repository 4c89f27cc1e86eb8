#include <knapweedchute/core/outcome.hpp>

namespace knapweedchute {

auto to_string(outcome value) noexcept -> std::string_view
{
    switch (value) {
    case outcome::not_run:
        return "not_run";
    case outcome::ran:
        return "ran";
    case outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace knapweedchute
