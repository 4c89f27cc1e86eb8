#pragma once

#include <knapweedchute/core/error.hpp>
#include <knapweedchute/query/action.hpp>
#include <knapweedchute/query/attempt_failure.hpp>
#include <knapweedchute/query/part_answer.hpp>
#include <knapweedchute/query/target_report.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace knapweedchute {

/// \name Messages between instances and targets
/// \see docs/interface-targets.md
/// @{

/// \brief Maximum number of shards in a snapshot.
inline constexpr auto max_shards = std::uint32_t{65'536};

/// \brief Maximum size of an answer of a target in bytes.
inline constexpr auto max_target_answer_bytes = std::size_t{1'048'576};

/// \brief JSON body of the request for one part.
/// \param now Time from which the remaining time is computed; at least 1 ms is sent.
[[nodiscard]] auto encode_part(const send_part& part, time_point now) -> std::string;

/// \brief JSON body of a non-idempotent request.
/// \param now Time from which the remaining time is computed; at least 1 ms is sent.
[[nodiscard]] auto encode_run(const send_run& run, time_point now) -> std::string;

/// \brief Decodes the answer to a part.
/// \param reason Receives the error if the body is invalid.
/// \returns Nothing if the body is invalid.
[[nodiscard]] auto decode_part_answer(std::string_view body, error& reason)
    -> std::optional<part_answer>;

/// \brief Decodes a status report of a target.
/// \param reason Receives the error if the body is invalid.
/// \returns Nothing if the body is invalid.
[[nodiscard]] auto decode_target_report(std::string_view body, error& reason)
    -> std::optional<target_report>;

/// \brief Decodes the reason from the refusal body of a target.
/// \returns `failed` if the body contains no known reason.
[[nodiscard]] auto decode_target_refusal(std::string_view body) -> attempt_failure;

/// @}

} // namespace knapweedchute
