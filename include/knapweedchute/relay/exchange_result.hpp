#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/relay/relayed_answer.hpp>

#include <cstdint>
#include <string_view>

namespace knapweedchute {

/// \brief How one request to one target ended.
enum class exchange_status : std::uint8_t
{
    not_run,      ///< The target reported that it did not run it, or nothing was sent.
    wrong_target, ///< Another target has the address and did not run the request.
    answered,     ///< A complete answer with the id of this request arrived.
    broken,       ///< After sending, the connection closed or sent malformed data; it may have run.
    unknown       ///< It was cancelled before an answer arrived; it may have run.
};

/// \brief Returns the name of a status for logs and metrics.
[[nodiscard]] auto to_string(exchange_status status) noexcept -> std::string_view;

/// \brief Whether the request is known not to have run.
[[nodiscard]] constexpr auto provably_not_run(exchange_status status) noexcept -> bool
{
    return status == exchange_status::not_run || status == exchange_status::wrong_target;
}

/// \brief Status of an ended exchange and the answer, if one arrived.
struct exchange_result
{
    exchange_status status = exchange_status::unknown; ///< How it ended.
    relayed_answer answer;                             ///< The answer, for `answered`.
    bool reused_connection = false; ///< Whether the connection served earlier requests.
    bool never_sent = false;        ///< Whether no byte was sent, for `not_run`.
    bool oversized = false;         ///< Whether the answer exceeded a limit, for `broken`.
    bool answer_begun = false;      ///< Whether bytes of an answer had arrived at its end.
};

} // namespace knapweedchute
