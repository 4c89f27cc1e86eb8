#pragma once

#include <knapweedchute/core/address.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief The place of an instance among those that share the connections of one target.
struct target_share
{
    std::int64_t position = 0;    ///< Rank of the instance, from 0.
    std::int64_t owners = 0;      ///< Instances that share the target; 0 if this one does not.
    std::int64_t connections = 0; ///< Connections that the instance may hold.

    [[nodiscard]] auto operator==(const target_share&) const -> bool = default;

    /// \brief Part of `bearing` requests in flight that the instance may use.
    [[nodiscard]] auto of(std::int64_t bearing) const noexcept -> std::int64_t;
};

/// \brief Divides the connections of a target among instances without a coordinator.
///
/// \detail Instances are ranked per target by a hash of both names (rendezvous hashing), so each
///         works out the same owners from the same member list, and one arrival or departure
///         moves few of them. Instances that are believed dead keep their share until they are
///         forgotten, so two halves of a cut never use more than the limit together.
class ownership
{
public:
    /// \brief Connections below which an owner is not useful.
    static constexpr auto fewest_connections = std::int64_t{2};

    /// \param instances Names of all instances that may hold connections, in any order.
    explicit ownership(std::vector<std::string> instances);

    /// \brief The instances that hold connections to a target, best rank first.
    /// \param limit Connections that the target accepts in all.
    [[nodiscard]] auto owners(const address& target, std::int64_t limit) const
        -> std::vector<std::string>;

private:
    std::vector<std::string> instances_;
    std::vector<std::uint64_t> hashes_;
};

/// \brief The place of one instance among the owners of a target.
/// \param owners Owners as `ownership::owners` gives them.
/// \param limit  Connections that the target accepts in all.
[[nodiscard]] auto share_among(const std::vector<std::string>& owners, const std::string& instance,
                               std::int64_t limit) -> target_share;

/// \brief Requests per second that one instance may send to a target that bears few.
/// \detail Only owners send, each whole requests: with a fraction of one a second for everybody,
/// all
///         together could send at once.
/// \param limit Requests per second that the target bears from all instances.
[[nodiscard]] auto rate_among(const ownership& instances, const address& target,
                              const std::string& instance, double limit) -> double;

} // namespace knapweedchute
