#pragma once

#include <string_view>

namespace knapweedchute {

/// \brief Every kind of failure that the system reports.
enum class error_code
{
    malformed,         ///< Text or bytes that cannot be decoded.
    invalid_value,     ///< Decodable, but out of range or of the wrong type.
    unknown_key,       ///< A key that the format does not define.
    too_large,         ///< Longer than its stated limit.
    not_authentic,     ///< The authentication code does not match.
    unknown_service,   ///< No service of this name is configured.
    no_configuration,  ///< No configuration is in force yet.
    not_fresh,         ///< Freshness of the configuration is not proved.
    no_snapshot,       ///< No target is known to serve any snapshot.
    overloaded,        ///< Refused by admission control.
    deadline_exceeded, ///< The deadline passed.
    coverage_too_low,  ///< Fewer shards answered than the service requires.
    target_failed,     ///< The target failed the request.
    issued_elsewhere,  ///< The request id belongs to another instance or incarnation.
    duplicate_request, ///< The request id was used before.
    conflict,          ///< Another revision was stored in the meantime.
    store_unavailable, ///< The platform's service did not answer.
    outcome_unknown,   ///< The answer was lost and could not be settled.
    not_found,         ///< Nothing is stored under this name.
    not_permitted      ///< The operator key is missing or wrong.
};

/// \brief Name of a code as used in JSON and logs, for example `unknown_service`.
[[nodiscard]] auto to_string(error_code code) noexcept -> std::string_view;

} // namespace knapweedchute
