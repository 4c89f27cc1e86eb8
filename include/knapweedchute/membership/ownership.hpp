#pragma once

#include <knapweedchute/core/address.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief Share of one instance in the connections and concurrent requests of a target.
struct target_share
{
    std::int64_t position = 0;    ///< Rank of the instance among the owners, from 0.
    std::int64_t owners = 0;      ///< Number of owners; 0 if the instance is none of them.
    std::int64_t connections = 0; ///< Maximum connections of the instance.

    [[nodiscard]] auto operator==(const target_share&) const -> bool = default;

    /// \brief Returns the number of concurrent requests that the instance may send.
    /// \param capacity Concurrent requests that the target accepts from all instances together.
    /// \returns An equal part of the capacity, never above `connections`; the remainder of the
    ///          division goes to the first ranks.
    [[nodiscard]] auto max_concurrent_requests(std::int64_t capacity) const noexcept
        -> std::int64_t;
};

/// \brief Divides the connections of a target among instances without a coordinator.
///
/// \detail Rendezvous hashing: instances are ranked per target by a hash of the instance name and
///         the target address. All instances compute the same owners from the same member list,
///         and one added or removed instance changes the owners of few targets. Pass dead members
///         too until they are removed: they keep their share, so the two sides of a network
///         partition together never exceed the limit.
class ownership
{
public:
    /// \brief Minimum connections per owner; a smaller limit has a single owner.
    static constexpr auto min_connections = std::int64_t{2};

    /// \param instances Names of all instances that may hold connections, in any order.
    explicit ownership(std::vector<std::string> instances);

    /// \brief Returns the instances that hold connections to a target, best rank first.
    /// \param target Address of the target.
    /// \param limit  Connections that the target accepts from all instances together.
    [[nodiscard]] auto owners(const address& target, std::int64_t limit) const
        -> std::vector<std::string>;

private:
    std::vector<std::string> instances_;
    std::vector<std::uint64_t> hashes_;
};

/// \brief Computes the share of one instance in the connections of a target.
/// \param owners   Owners as returned by `ownership::owners`.
/// \param instance Name of the instance.
/// \param limit    Connections that the target accepts from all instances together.
/// \returns The share, or an empty one if the instance is not an owner.
[[nodiscard]] auto share_among(const std::vector<std::string>& owners, const std::string& instance,
                               std::int64_t limit) -> target_share;

/// \brief Computes the request rate that one instance may send to a target with a low rate limit.
/// \detail Only the owners send, so that each may send at least one request per second if the
///         limit allows it. If every instance had a small fraction of a request per second, all of
///         them could still send one at the same time.
/// \param instances Instances among which the rate is divided.
/// \param target    Address of the target.
/// \param instance  Name of the instance.
/// \param limit     Requests per second that the target accepts from all instances together.
/// \returns Requests per second; 0 if the instance is not an owner.
[[nodiscard]] auto rate_among(const ownership& instances, const address& target,
                              const std::string& instance, double limit) -> double;

} // namespace knapweedchute
