#pragma once

#include <knapweedchute/membership/address_selector.hpp>
#include <knapweedchute/runtime/http_server.hpp>
#include <knapweedchute/runtime/peer_agent.hpp>
#include <knapweedchute/runtime/query_engine.hpp>

#include <atomic>
#include <mutex>

namespace knapweedchute {

/// \brief HTTP interface for callers. See docs/interface-callers.md.
class caller_api
{
public:
    /// \param values   Settings of the process.
    /// \param engine   Executes requests; must outlive this object.
    /// \param peers    Source of the member list; must outlive this object.
    /// \param holder   Holds the active configuration; must outlive this object.
    /// \param counters Counts events; must outlive this object.
    caller_api(const settings& values, query_engine& engine, peer_agent& peers,
               configuration_holder& holder, counter_set& counters);

    /// \brief Handles one call; the reply may follow later, on another thread.
    auto handle(const http_call& call, const http_server::responder& respond) -> void;

    /// \brief Counts and logs a refused call.
    /// \returns The error reply to send.
    [[nodiscard]] auto refuse(const error& reason) -> http_reply;

    /// \brief Closes every connection after its next reply.
    auto close_connections() -> void { closing_ = true; }

private:
    using route_handler = void (caller_api::*)(const http_call&, const http_server::responder&);

    struct route
    {
        const char* method;
        const char* path;
        route_handler handle;
    };

    static const std::vector<route> routes;

    auto addresses(const http_call& call, const http_server::responder& respond) -> void;
    auto search(const http_call& call, const http_server::responder& respond) -> void;
    auto issue_id(const http_call& call, const http_server::responder& respond) -> void;
    auto run(const http_call& call, const http_server::responder& respond) -> void;
    [[nodiscard]] auto deadline_of(std::int64_t deadline_ms, const std::string& service) const
        -> time_point;

    settings settings_;
    query_engine* engine_;
    peer_agent* peers_;
    configuration_holder* holder_;
    counter_set* counters_;
    std::mutex selector_mutex_;
    address_selector selector_;
    std::atomic<bool> closing_{false};
};

} // namespace knapweedchute
