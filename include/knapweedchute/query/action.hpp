#pragma once

#include <knapweedchute/core/address.hpp>
#include <knapweedchute/core/time.hpp>
#include <knapweedchute/query/query_answer.hpp>
#include <knapweedchute/query/refusal.hpp>
#include <knapweedchute/query/served_shard.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace knapweedchute {

/// \brief Identifies a query within one coordinator.
using query_key = std::uint64_t;

/// \brief Identifies an attempt within one coordinator.
using attempt_key = std::uint64_t;

/// \brief Requests that a part of a search is sent to a target.
struct send_part
{
    attempt_key attempt = 0;     ///< Attempt that later events refer to.
    address target;              ///< Address of the target.
    served_shard source;         ///< Snapshot and shard to search.
    std::string text;            ///< Search text.
    std::uint32_t top = 0;       ///< Maximum number of hits.
    time_point deadline;         ///< When the attempt times out.
    bool new_connection = false; ///< Whether a new connection is required.

    [[nodiscard]] auto operator==(const send_part&) const -> bool = default;
};

/// \brief Requests that another instance searches shards whose targets it may use.
struct forward_parts
{
    attempt_key attempt = 0;           ///< Attempt that later events refer to.
    std::string instance;              ///< Name of the receiving instance.
    std::vector<std::uint32_t> shards; ///< Shards to search.
    std::string service;               ///< Service to search.
    std::string version;               ///< Version to search.
    std::uint64_t snapshot = 0;        ///< Snapshot to search.
    std::uint32_t total_shards = 0;    ///< Number of shards in that snapshot.
    std::string text;                  ///< Search text.
    std::uint32_t top = 0;             ///< Maximum number of hits per shard.
    time_point deadline;               ///< When the attempt times out.

    [[nodiscard]] auto operator==(const forward_parts&) const -> bool = default;
};

/// \brief Requests that a non-idempotent request is sent to a target on a dedicated connection.
///
/// \detail On a reused connection that turns out dead, the HTTP library would send it again.
struct send_run
{
    attempt_key attempt = 0; ///< Attempt that later events refer to.
    address target;          ///< Address of the target.
    std::string id;          ///< Request id.
    std::string key;         ///< Key that selects the shard.
    std::uint32_t shard = 0; ///< Shard that runs the request.
    std::string document;    ///< JSON text for the target.
    time_point deadline;     ///< When the attempt times out.

    [[nodiscard]] auto operator==(const send_run&) const -> bool = default;
};

/// \brief Cancels an attempt whose answer is no longer needed.
struct cancel_attempt
{
    attempt_key attempt = 0; ///< Attempt to cancel.

    [[nodiscard]] auto operator==(const cancel_attempt&) const -> bool = default;
};

/// \brief Answers a search.
struct answer_query
{
    query_key query = 0; ///< Query that is answered.
    query_answer answer; ///< Hits and coverage.

    [[nodiscard]] auto operator==(const answer_query&) const -> bool = default;
};

/// \brief Answers a non-idempotent request that ran.
struct answer_run
{
    query_key query = 0; ///< Request that is answered.
    std::string body;    ///< JSON text from the target.

    [[nodiscard]] auto operator==(const answer_run&) const -> bool = default;
};

/// \brief Refuses a request.
struct refuse_query
{
    query_key query = 0; ///< Request that is refused.
    refusal details;     ///< Reason, and whether the request ran.

    [[nodiscard]] auto operator==(const refuse_query&) const -> bool = default;
};

/// \brief Output of a coordinator, carried out by its owner.
using action = std::variant<send_part, forward_parts, send_run, cancel_attempt, answer_query,
                            answer_run, refuse_query>;

/// \brief Actions that follow from one event, in the order to carry them out.
using action_list = std::vector<action>;

} // namespace knapweedchute
