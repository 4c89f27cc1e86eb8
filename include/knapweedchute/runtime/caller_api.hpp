#pragma once

#include <knapweedchute/membership/address_selector.hpp>
#include <knapweedchute/runtime/http_server.hpp>
#include <knapweedchute/runtime/peer_agent.hpp>
#include <knapweedchute/runtime/query_engine.hpp>

#include <atomic>
#include <mutex>

namespace knapweedchute {

/// \brief What callers can ask over HTTP. See docs/interface-callers.md.
class caller_api
{
public:
    /// \param values   Settings of the process.
    /// \param engine   Serves requests; outlives the interface.
    /// \param peers    Tells who serves; outlives the interface.
    /// \param holder   Configuration in force; outlives the interface.
    /// \param counters Receives events; outlives the interface.
    caller_api(const settings& values, query_engine& engine, peer_agent& peers,
               configuration_holder& holder, counter_set& counters);

    /// \brief Handles one call.
    auto handle(const http_call& call, const http_server::responder& respond) -> void;

    /// \brief Answer to a call that broke a bound.
    [[nodiscard]] auto refuse(const error& reason) -> http_reply;

    /// \brief From now on connections are closed after their answer.
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
    std::mutex choice_mutex_;
    address_selector choice_;
    std::atomic<bool> closing_{false};
};

} // namespace knapweedchute
