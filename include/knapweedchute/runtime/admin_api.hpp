#pragma once

#include <knapweedchute/runtime/http_server.hpp>
#include <knapweedchute/runtime/peer_agent.hpp>
#include <knapweedchute/runtime/query_engine.hpp>
#include <knapweedchute/runtime/rollout_agent.hpp>

namespace knapweedchute {

/// \brief What operators can ask over HTTP. See docs/interface-operators.md.
class admin_api
{
public:
    /// \param values   Settings of the process.
    /// \param engine   Gives its state; outlives the interface.
    /// \param peers    Gives its state; outlives the interface.
    /// \param holder   Configuration in force; outlives the interface.
    /// \param moves    Gives its state; outlives the interface.
    /// \param counters Gives its values; outlives the interface.
    admin_api(const settings& values, query_engine& engine, peer_agent& peers,
              configuration_holder& holder, rollout_agent& moves, counter_set& counters);

    /// \brief Handles one call.
    auto handle(const http_call& call, const http_server::responder& respond) -> void;

    /// \brief Answer to a call that broke a bound.
    [[nodiscard]] auto refuse(const error& reason) -> http_reply;

private:
    using route_handler = http_reply (admin_api::*)(const http_call&);

    struct route
    {
        const char* method;
        const char* path;
        bool needs_key;
        route_handler handle;
    };

    static const std::vector<route> routes;

    [[nodiscard]] auto dump(const http_call& call) -> http_reply;
    [[nodiscard]] auto metrics(const http_call& call) -> http_reply;
    [[nodiscard]] auto status(const http_call& call) -> http_reply;
    [[nodiscard]] auto offer(const http_call& call) -> http_reply;

    settings settings_;
    query_engine* engine_;
    peer_agent* peers_;
    configuration_holder* holder_;
    rollout_agent* moves_;
    counter_set* counters_;
};

} // namespace knapweedchute
