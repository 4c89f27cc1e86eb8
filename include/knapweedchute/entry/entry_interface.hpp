#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/membership/member.hpp>
#include <knapweedchute/relay/header_names.hpp>
#include <knapweedchute/usage/usage_statement.hpp>

#include <functional>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief Header names, paths and encodings of an installation; set once at start.
struct entry_interface
{
    header_names headers;       ///< Names of the headers of requests and answers.
    std::string readiness_path; ///< Path of the readiness check.
    std::string addresses_path; ///< Path that lists addresses of instances.
    /// \brief Encodes the body of an address answer, with the time for which it may be cached.
    std::function<std::string(const std::vector<member>&, milliseconds lifetime)> encode_addresses;
    /// \brief Encodes the report of a window's usage.
    std::function<std::string(usage_window, const usage_counts&)> encode_report = {};
};

} // namespace knapweedchute
