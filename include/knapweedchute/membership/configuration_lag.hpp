#pragma once

#include <knapweedchute/core/time.hpp>

#include <cstdint>

namespace knapweedchute {

/// \brief Tells for how long peers have had a newer configuration than this instance.
///
/// \detail Peers state their version in every datagram, so that an instance whose source of changes
///         is behind learns it from any of them.
class configuration_lag
{
public:
    /// \brief Records the version that a peer states.
    /// \param peer_version Version in force at the peer; 0 for none.
    /// \param own_version  Version in force here; 0 for none.
    /// \returns Whether the version is newer than the own one and than all stated before.
    auto record(std::uint64_t peer_version, std::uint64_t own_version, time_point now) noexcept
        -> bool
    {
        if (peer_version <= newest_ || peer_version <= own_version) {
            return false;
        }
        if (own_version >= newest_) {
            behind_since_ = now;
        }
        newest_ = peer_version;
        return true;
    }

    /// \brief Returns the time since the first newer version was stated.
    /// \param own_version Version in force here.
    /// \returns The time; zero if no peer is known to have a newer version.
    [[nodiscard]] auto behind_for(std::uint64_t own_version, time_point now) const noexcept
        -> duration
    {
        return own_version < newest_ ? now - behind_since_ : duration::zero();
    }

private:
    std::uint64_t newest_ = 0; ///< Newest version that a peer has stated.
    time_point behind_since_;
};

} // namespace knapweedchute
