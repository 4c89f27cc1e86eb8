#pragma once

#include <knapweedchute/core/error.hpp>
#include <knapweedchute/query/query_answer.hpp>
#include <knapweedchute/query/refusal.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace knapweedchute {

/// \name Messages between callers and instances
/// \see docs/interface-callers.md
/// @{

/// \brief Search request as received from a caller.
struct search_call
{
    std::string request_id;        ///< Id assigned by the caller.
    std::string service;           ///< Service to search.
    std::string text;              ///< Search text.
    std::uint32_t top = 0;         ///< Maximum number of hits.
    std::int64_t deadline_ms = 0;  ///< Time allowed; 0 for the service's default.
    std::int64_t answer_value = 0; ///< Value of an answer to the caller.

    [[nodiscard]] auto operator==(const search_call&) const -> bool = default;
};

/// \brief Non-idempotent request as received from a caller.
struct run_call
{
    std::string request_id;       ///< Id issued by an instance.
    std::string service;          ///< Service that runs the request.
    std::string key;              ///< Key that selects the shard.
    std::string document;         ///< Content for the target.
    std::int64_t deadline_ms = 0; ///< Time allowed; 0 for the service's default.

    [[nodiscard]] auto operator==(const run_call&) const -> bool = default;
};

/// \brief Decodes a search request.
/// \param reason Receives the error if the body is invalid.
/// \returns Nothing if the body is invalid.
[[nodiscard]] auto decode_search_call(std::string_view body, error& reason)
    -> std::optional<search_call>;

/// \brief Decodes a non-idempotent request.
/// \param reason Receives the error if the body is invalid.
/// \returns Nothing if the body is invalid.
[[nodiscard]] auto decode_run_call(std::string_view body, error& reason) -> std::optional<run_call>;

/// \brief JSON body of the answer to a search.
[[nodiscard]] auto encode_answer(const std::string& request_id, const query_answer& answer)
    -> std::string;

/// \brief JSON body of the answer to a non-idempotent request.
/// \param body Body from the target; encoded as a JSON string if it is not valid JSON.
[[nodiscard]] auto encode_run_answer(const std::string& request_id, const std::string& body)
    -> std::string;

/// \brief JSON body of a refusal.
[[nodiscard]] auto encode_refusal(const std::string& request_id, const refusal& refused)
    -> std::string;

/// \brief HTTP status for a refusal with the given error code.
[[nodiscard]] auto status_of(error_code code) noexcept -> unsigned;

/// @}

} // namespace knapweedchute
