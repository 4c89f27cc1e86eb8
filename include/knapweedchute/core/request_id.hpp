#pragma once

#include <knapweedchute/core/error.hpp>
#include <knapweedchute/core/message_key.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace knapweedchute {

/// \brief Identity of a non-idempotent request.
///
/// \detail The id names the only instance incarnation that may ever run it, so no other instance
///         needs to remember it: every other one refuses it.
struct request_id
{
    std::string instance;          ///< Name of the issuing instance.
    std::uint64_t incarnation = 0; ///< Start number of the issuing process.
    std::uint64_t sequence = 0;    ///< Number of the id within the incarnation.
    std::uint64_t expires_ms = 0;  ///< Milliseconds since the process started; refused afterwards.

    [[nodiscard]] auto operator<=>(const request_id&) const = default;
};

/// \brief Text `instance.incarnation.sequence.expires.code`, signed with `key`.
[[nodiscard]] auto to_string(const request_id& id, const message_key& key) -> std::string;

/// \brief Parses and authenticates the text of an id.
/// \param reason Filled when nothing is returned.
[[nodiscard]] auto parse_request_id(std::string_view text, const message_key& key, error& reason)
    -> std::optional<request_id>;

} // namespace knapweedchute
