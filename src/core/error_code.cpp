#include <knapweedchute/core/error_code.hpp>

namespace knapweedchute {

auto to_string(error_code code) noexcept -> std::string_view
{
    switch (code) {
    case error_code::malformed:
        return "malformed";
    case error_code::invalid_value:
        return "invalid_value";
    case error_code::unknown_key:
        return "unknown_key";
    case error_code::too_large:
        return "too_large";
    case error_code::not_authentic:
        return "not_authentic";
    case error_code::unknown_service:
        return "unknown_service";
    case error_code::no_configuration:
        return "no_configuration";
    case error_code::not_fresh:
        return "not_fresh";
    case error_code::no_snapshot:
        return "no_snapshot";
    case error_code::overloaded:
        return "overloaded";
    case error_code::deadline_exceeded:
        return "deadline_exceeded";
    case error_code::coverage_too_low:
        return "coverage_too_low";
    case error_code::target_failed:
        return "target_failed";
    case error_code::issued_elsewhere:
        return "issued_elsewhere";
    case error_code::duplicate_request:
        return "duplicate_request";
    case error_code::conflict:
        return "conflict";
    case error_code::store_unavailable:
        return "store_unavailable";
    case error_code::outcome_unknown:
        return "outcome_unknown";
    case error_code::not_found:
        return "not_found";
    case error_code::not_permitted:
        return "not_permitted";
    }
    return "invalid_error_code";
}

} // namespace knapweedchute
