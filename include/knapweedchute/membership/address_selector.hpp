#pragma once

#include <knapweedchute/membership/member.hpp>

#include <random>
#include <set>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief Selects the instances whose addresses are returned to callers.
///
/// \detail Only alive instances in availability zones that are not excluded are selected.
///         Instances in the caller's availability zone come first; the order within each group is
///         random. Instances with a much smaller processor share than the largest are left out
///         while enough larger ones are alive: a query to many shards is a burst of work, and on a
///         small share of a core it takes longer than the latency goal.
class address_selector
{
public:
    /// \brief Maximum number of addresses in one answer.
    static constexpr auto max_addresses = std::size_t{16};

    /// \brief Minimum number of instances that `preferred` keeps if that many are alive, whatever
    ///        their processor share, so that callers can fail over when some instances stop.
    static constexpr auto min_addresses = std::size_t{4};

    /// \brief Minimum processor share of a preferred instance, as a fraction of the largest share.
    static constexpr auto min_share_ratio = 0.6;

    /// \brief Returns the alive instances with a large processor share, and the next largest if
    ///        these are fewer than the minimum.
    /// \returns Instances in descending order of their processor share.
    [[nodiscard]] static auto preferred(const std::vector<member>& members) -> std::vector<member>;

    /// \param seed Seed of the random number generator.
    explicit address_selector(std::uint64_t seed);

    /// \brief Selects the instances for one caller.
    /// \param members        Known instances.
    /// \param excluded_zones Availability zones that receive no traffic.
    /// \param caller_zone    Availability zone of the caller, or empty if it is unknown.
    /// \returns At most `max_addresses` instances; empty if none is eligible.
    [[nodiscard]] auto select(const std::vector<member>& members,
                              const std::set<std::string>& excluded_zones,
                              const std::string& caller_zone) -> std::vector<member>;

private:
    std::mt19937_64 random_;
};

} // namespace knapweedchute
