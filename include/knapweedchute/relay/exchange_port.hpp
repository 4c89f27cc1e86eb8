#pragma once

#include <knapweedchute/relay/exchange_result.hpp>
#include <knapweedchute/target/target_record.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace knapweedchute {

/// \brief Names an exchange; 0 names none.
using exchange_id = std::uint64_t;

/// \brief A request ready to be sent to one target.
struct exchange_order
{
    std::shared_ptr<const target_record> target; ///< Receiver.
    std::string text;                            ///< Whole HTTP request.
    std::string request_id;                      ///< Identity that the answer must name.
    bool body_expected = true;                   ///< False for methods answered without a body.
    bool repeatable = true;                      ///< False: only on a connection proved alive.
};

/// \brief Sends requests to targets; the network in a daemon, a fake in tests.
class exchange_port
{
public:
    /// \brief Receives the end of an exchange, once, never from inside `send`.
    using listener = std::function<void(exchange_result)>;

    exchange_port() = default;
    exchange_port(const exchange_port&) = delete;
    auto operator=(const exchange_port&) -> exchange_port& = delete;
    virtual ~exchange_port() = default;

    /// \brief Whether this instance has a connection left for a target.
    [[nodiscard]] virtual auto has_room(const target_record& target) const -> bool = 0;

    /// \brief Sends a request.
    virtual auto send(exchange_order order, listener done) -> exchange_id = 0;

    /// \brief Ends an exchange now by closing its connection; its listener is told `unknown`.
    virtual auto cancel(exchange_id exchange) -> void = 0;
};

} // namespace knapweedchute
