#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/relay/header_names.hpp>
#include <knapweedchute/relay/relayed_request.hpp>
#include <knapweedchute/target/target_record.hpp>

#include <string>

namespace knapweedchute {

/// \brief Encodes a caller's request as the HTTP request to one target.
/// \param names     Header names of the installation.
/// \param time_left Time until the caller's deadline; the target stops work after it.
[[nodiscard]] auto encode_request(const relayed_request& request, const header_names& names,
                                  const target_record& target, milliseconds time_left)
    -> std::string;

} // namespace knapweedchute
