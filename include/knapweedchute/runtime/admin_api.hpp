#pragma once

#include <knapweedchute/runtime/http_server.hpp>
#include <knapweedchute/runtime/peer_agent.hpp>
#include <knapweedchute/runtime/query_engine.hpp>
#include <knapweedchute/runtime/rollout_agent.hpp>

namespace knapweedchute {

/// \brief HTTP interface for operators. See docs/interface-operators.md.
class admin_api
{
public:
    /// \param values   Settings of the process.
    /// \param engine   Query engine whose state is dumped; must outlive this object.
    /// \param peers    Source of the member list; must outlive this object.
    /// \param holder   Holds the active configuration; must outlive this object.
    /// \param rollouts Rollouts whose state is dumped; must outlive this object.
    /// \param counters Counters that are exported; must outlive this object.
    admin_api(const settings& values, query_engine& engine, peer_agent& peers,
              configuration_holder& holder, rollout_agent& rollouts, counter_set& counters);

    /// \brief Handles one call and replies on the calling thread.
    auto handle(const http_call& call, const http_server::responder& respond) -> void;

    /// \brief Counts and logs a refused call.
    /// \returns The error reply to send.
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
    [[nodiscard]] auto adopt_configuration(const http_call& call) -> http_reply;

    settings settings_;
    query_engine* engine_;
    peer_agent* peers_;
    configuration_holder* holder_;
    rollout_agent* rollouts_;
    counter_set* counters_;
};

} // namespace knapweedchute
