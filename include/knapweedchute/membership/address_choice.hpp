#pragma once

#include <knapweedchute/membership/member.hpp>

#include <random>
#include <set>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief Chooses the instances that callers are told to use.
///
/// \detail Never one that is leaving, suspected or in an availability zone that is taken out.
///         Those of the caller's availability zone come first, in random order within each group.
///         An instance with far less processor than the strongest is named only where too few
///         strong ones are left: a query to many shards is a burst of work, and a small share of
///         a core stretches it beyond the latency goal.
class address_choice
{
public:
    /// \brief Most addresses in one answer.
    static constexpr auto most_addresses = std::size_t{16};

    /// \brief Instances that are named at least, however weak, so that losing some is borne.
    static constexpr auto fewest_addresses = std::size_t{4};

    /// \brief Part of the strongest instance's processor below which one is not named.
    static constexpr auto least_strength = 0.6;

    /// \brief The instances that callers are to use: alive, and strong where enough are.
    [[nodiscard]] static auto preferred(const std::vector<member>& members) -> std::vector<member>;

    /// \param seed Seed of the random order.
    explicit address_choice(std::uint64_t seed);

    /// \param members   Known instances.
    /// \param zones_out Availability zones that are taken out.
    /// \param near_zone Availability zone of the caller, or empty.
    [[nodiscard]] auto choose(const std::vector<member>& members,
                              const std::set<std::string>& zones_out, const std::string& near_zone)
        -> std::vector<member>;

private:
    std::mt19937_64 random_;
};

} // namespace knapweedchute
