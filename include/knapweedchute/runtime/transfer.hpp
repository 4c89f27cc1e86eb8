#pragma once

#include <knapweedchute/core/address.hpp>
#include <knapweedchute/core/time.hpp>

#include <cstdint>
#include <string>

namespace knapweedchute {

/// \brief Identity of a transfer within its worker.
using transfer_key = std::uint64_t;

/// \brief One HTTP exchange with a target.
struct transfer_request
{
    address target;                    ///< Address of the target.
    std::string path;                  ///< Path, for example `/v1/parts`.
    std::string body;                  ///< JSON body, sent with POST; if empty, the method is GET.
    milliseconds timeout{0};           ///< Limit for the complete exchange.
    bool force_new_connection = false; ///< Whether to open a new connection.
    bool close_afterwards = false;     ///< Whether to close the connection after the exchange.

    [[nodiscard]] auto operator==(const transfer_request&) const -> bool = default;
};

/// \brief How a transfer ended.
enum class transfer_status
{
    answered,      ///< A complete HTTP response arrived.
    not_connected, ///< No connection was established; nothing was sent.
    timed_out,     ///< No complete response arrived in time.
    broken         ///< The connection failed or the response was incomplete.
};

/// \brief Result of a transfer.
struct transfer_result
{
    transfer_status status = transfer_status::broken; ///< How it ended.
    long http_status = 0;                             ///< HTTP status if answered.
    std::string body;                                 ///< Response body.
    bool reused_connection = false;                   ///< Whether an open connection was reused.

    [[nodiscard]] auto operator==(const transfer_result&) const -> bool = default;
};

} // namespace knapweedchute
