#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/relay/relayed_answer.hpp>

#include <string_view>

namespace knapweedchute {

/// \brief An answer of this system's own, with the reason as its body.
[[nodiscard]] auto own_answer(unsigned status, std::string_view reason) -> relayed_answer;

/// \brief A refusal that promises that the request has not run and never will.
/// \param retry_after When the caller should come back.
[[nodiscard]] auto not_run_answer(std::string_view reason, duration retry_after) -> relayed_answer;

} // namespace knapweedchute
