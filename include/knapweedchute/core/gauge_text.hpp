#pragma once

#include <string>
#include <string_view>

namespace knapweedchute {

/// \brief Lines of the Prometheus text format for a value that goes up and down.
/// \param name   Name without the project's prefix, with the unit at its end.
/// \param labels Labels without braces; may be empty.
[[nodiscard]] auto gauge_text(std::string_view name, std::string_view labels, double value)
    -> std::string;

} // namespace knapweedchute
