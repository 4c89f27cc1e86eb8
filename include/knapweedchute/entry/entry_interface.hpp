#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/membership/member.hpp>
#include <knapweedchute/relay/header_names.hpp>

#include <functional>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief How an installation names what an entry process serves; filled once at start.
struct entry_interface
{
    header_names headers;       ///< Headers of requests and answers.
    std::string readiness_path; ///< Path that asks whether the instance is ready.
    std::string addresses_path; ///< Path that asks for addresses of instances.
    /// \brief Body of an address answer.
    std::function<std::string(const std::vector<member>&, milliseconds lifetime)> encode_addresses;
};

} // namespace knapweedchute
