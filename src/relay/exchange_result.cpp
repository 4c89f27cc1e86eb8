#include <knapweedchute/relay/exchange_result.hpp>

namespace knapweedchute {

auto to_string(exchange_end end) noexcept -> std::string_view
{
    switch (end) {
    case exchange_end::not_run:
        return "not_run";
    case exchange_end::wrong_target:
        return "wrong_target";
    case exchange_end::answered:
        return "answered";
    case exchange_end::broken:
        return "broken";
    case exchange_end::unknown:
        return "unknown";
    }
    return "invalid";
}

} // namespace knapweedchute
