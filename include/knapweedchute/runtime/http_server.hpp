#pragma once

#include <knapweedchute/core/address.hpp>
#include <knapweedchute/core/error.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace knapweedchute {

/// \brief A request that an HTTP server received.
struct http_call
{
    std::string method;                           ///< Method in upper case.
    std::string path;                             ///< Path without the query string.
    std::map<std::string, std::string> arguments; ///< Arguments of the query string.
    std::string operator_key;                     ///< Value of the header `X-Operator-Key`.
    std::string body;                             ///< Complete body.

    [[nodiscard]] auto operator==(const http_call&) const -> bool = default;
};

/// \brief The reply of an HTTP server to a call.
struct http_reply
{
    unsigned status = 200;                         ///< Status code.
    std::string body;                              ///< Body.
    std::string content_type = "application/json"; ///< Media type of the body.
    bool close = false;                            ///< Whether the server closes the connection.

    [[nodiscard]] auto operator==(const http_reply&) const -> bool = default;
};

/// \brief Thread count and limits of an HTTP server.
struct http_server_options
{
    unsigned threads = 1;                ///< Threads that serve connections.
    std::size_t max_body_bytes = 65'536; ///< Calls with a larger body are refused.

    [[nodiscard]] auto operator==(const http_server_options&) const -> bool = default;
};

/// \brief HTTP server over libmicrohttpd that accepts replies asynchronously, from any thread.
class http_server
{
public:
    /// \brief Sends the reply to a call; must be called exactly once.
    using responder = std::function<void(http_reply)>;

    /// \brief Handles a call whose body has been received completely.
    using handler = std::function<void(const http_call&, responder)>;

    /// \brief Builds the reply to a call that exceeds a limit.
    using fault_handler = std::function<http_reply(const error&)>;

    /// \param listen_address Address to listen on.
    /// \param options Thread count and limits.
    /// \param handle  Handles calls, on the server's threads.
    /// \param refuse  Builds the reply to a call that exceeds a limit.
    http_server(const address& listen_address, http_server_options options, handler handle,
                fault_handler refuse);
    http_server(const http_server&) = delete;
    auto operator=(const http_server&) -> http_server& = delete;

    /// \brief Waits until no call is in progress, then stops.
    ~http_server();

    /// \brief Whether the server started on its address.
    [[nodiscard]] auto listening() const noexcept -> bool;

    /// \brief Accepts no new connections; open connections are served further.
    auto stop_listening() -> void;

    /// \brief Number of calls that have not completed.
    [[nodiscard]] auto calls_in_progress() const noexcept -> std::size_t;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace knapweedchute
