#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/relay/relayed_answer.hpp>

#include <cstdint>
#include <string_view>

namespace knapweedchute {

/// \brief How one request to one target ended. Exactly one of these is true of every exchange.
enum class exchange_end : std::uint8_t
{
    not_run,      ///< The target said that it did not run it, or nothing was sent.
    wrong_target, ///< Another target has the address; it did not run it.
    answered,     ///< A whole answer to this very request arrived.
    broken,       ///< The connection ended or spoke nonsense after sending; it may have run.
    unknown       ///< It was given up before an answer; it may have run.
};

/// \brief Name of an end for logs.
[[nodiscard]] auto to_string(exchange_end end) noexcept -> std::string_view;

/// \brief Whether the request provably did not run.
[[nodiscard]] constexpr auto provably_not_run(exchange_end end) noexcept -> bool
{
    return end == exchange_end::not_run || end == exchange_end::wrong_target;
}

/// \brief End of an exchange with what was received.
struct exchange_result
{
    exchange_end end = exchange_end::unknown; ///< How it ended.
    relayed_answer answer;                    ///< The answer, for `answered`.
    bool kept_connection = false;             ///< Whether the connection had served others before.
    bool never_sent = false;                  ///< Whether no byte left, for `not_run`.
};

} // namespace knapweedchute
