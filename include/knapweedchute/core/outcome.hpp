#pragma once

#include <string_view>

namespace knapweedchute {

/// \brief What is known about the execution of a request that was not answered.
enum class outcome
{
    not_run, ///< Provably no target ran it.
    ran,     ///< A target ran it.
    unknown  ///< A target may have run it.
};

/// \brief Name used in JSON: `not_run`, `ran` or `unknown`.
[[nodiscard]] auto to_string(outcome value) noexcept -> std::string_view;

} // namespace knapweedchute
