#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/relay/relayed_answer.hpp>

#include <string_view>

namespace knapweedchute {

/// \brief Creates an error answer with the reason as a JSON body.
[[nodiscard]] auto error_answer(unsigned status, std::string_view reason) -> relayed_answer;

/// \brief Creates a 503 answer, which guarantees that the request has not run and never will.
/// \param retry_after Time after which the caller should retry; sent in seconds.
[[nodiscard]] auto not_run_answer(std::string_view reason, duration retry_after) -> relayed_answer;

} // namespace knapweedchute
