#pragma once

#include <knapweedchute/relay/exchange_result.hpp>
#include <knapweedchute/target/target_record.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace knapweedchute {

/// \brief Identifies an exchange; 0 means no exchange.
using exchange_id = std::uint64_t;

/// \brief A request ready to be sent to one target.
struct exchange_order
{
    std::shared_ptr<const target_record> target; ///< Target that receives the request.
    std::string text;                            ///< Complete HTTP request.
    std::string request_id;                      ///< Request id that the answer must repeat.
    bool body_expected = true;                   ///< False for methods whose answer has no body.
    bool repeatable = true;                      ///< False: avoids connections that may be stale.
    bool answers_have_ids = true;                ///< Whether answers repeat the request id.
    std::size_t max_answer_bytes = 4 << 20;      ///< Maximum bytes of an answer, as received.
    /// Asked again before a request that had to wait for its connection is sent; empty: it may be.
    std::function<bool()> may_send = {};
};

/// \brief Interface that sends requests to targets: over the network or, in tests, by a fake.
class exchange_port
{
public:
    /// \brief Receives the result of an exchange; called exactly once, never from inside `send`.
    using listener = std::function<void(exchange_result)>;

    exchange_port() = default;
    exchange_port(const exchange_port&) = delete;
    auto operator=(const exchange_port&) -> exchange_port& = delete;
    virtual ~exchange_port() = default;

    /// \brief Whether this instance has a free connection to a target.
    [[nodiscard]] virtual auto has_capacity(const target_record& target) const -> bool = 0;

    /// \brief Sends a request.
    /// \returns Id of the exchange, for `cancel`.
    virtual auto send(exchange_order order, listener done) -> exchange_id = 0;

    /// \brief Cancels an exchange by closing its connection; its listener receives `unknown`.
    virtual auto cancel(exchange_id exchange) -> void = 0;
};

} // namespace knapweedchute
