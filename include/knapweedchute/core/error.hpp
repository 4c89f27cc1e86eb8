#pragma once

#include <knapweedchute/core/error_code.hpp>

#include <string>

namespace knapweedchute {

/// \brief A failure: its kind, where it was found, and what was wrong.
///
/// \detail Functions that can fail return `std::optional` and fill an `error` given by reference,
///         the last reason:
/// \code
/// auto reason = knapweedchute::error{};
/// const auto parsed = knapweedchute::parse_address("10.0.0.1:80", reason);
/// \endcode
struct error
{
    error_code code = error_code::malformed; ///< Kind of failure.
    std::string where;                       ///< Path of the fault, for example `/services/0/name`.
    std::string what;                        ///< Short sentence for people.

    [[nodiscard]] auto operator==(const error&) const -> bool = default;
};

/// \brief One line of the form `code at where: what`.
[[nodiscard]] auto to_string(const error& value) -> std::string;

} // namespace knapweedchute
