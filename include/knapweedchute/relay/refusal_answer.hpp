#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/relay/relayed_answer.hpp>

#include <string_view>

namespace knapweedchute {

/// \brief Whether a status promises the caller that its request has not run and never will.
[[nodiscard]] constexpr auto promises_not_run(unsigned status) noexcept -> bool
{
    constexpr auto request_timeout = 408U;
    constexpr auto misdirected_request = 421U;
    constexpr auto too_many_requests = 429U;
    constexpr auto service_unavailable = 503U;
    return status == request_timeout || status == misdirected_request ||
           status == too_many_requests || status == service_unavailable;
}

/// \brief Creates an error answer with the reason as a JSON body.
[[nodiscard]] auto error_answer(unsigned status, std::string_view reason) -> relayed_answer;

/// \brief Creates a 503 answer, which guarantees that the request has not run and never will.
/// \param retry_after Time after which the caller should retry; sent in seconds.
[[nodiscard]] auto not_run_answer(std::string_view reason, duration retry_after) -> relayed_answer;

} // namespace knapweedchute
