#pragma once

#include <knapweedchute/core/time.hpp>

#include <algorithm>
#include <cstdint>

namespace knapweedchute {

/// \brief Tells since when peers have had a newer configuration than this instance, and when to
///        suspect the source of changes for it.
///
/// \detail Peers state their version in every datagram. An instance whose source is silent or
///         behind thus learns it within a few datagrams, whichever waits its source has left.
class configuration_lag
{
public:
    /// \param patience Time after which the source is suspected first; then after twice the time
    ///                 before, as the version may be one that cannot be read here.
    explicit configuration_lag(duration patience) : patience_{patience}, interval_{patience} {}

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
            next_suspicion_ = now + patience_;
        }
        newest_ = peer_version;
        next_suspicion_ = std::min(next_suspicion_, now + patience_);
        interval_ = patience_;
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

    /// \brief Whether the source is to be suspected now; true once for each time.
    /// \param own_version Version in force here.
    [[nodiscard]] auto take_suspicion(std::uint64_t own_version, time_point now) noexcept -> bool
    {
        if (own_version >= newest_ || now < next_suspicion_) {
            return false;
        }
        interval_ *= 2;
        next_suspicion_ = now + interval_;
        return true;
    }

private:
    duration patience_;
    duration interval_;        ///< Latest time between two suspicions.
    std::uint64_t newest_ = 0; ///< Newest version that a peer has stated.
    time_point behind_since_;
    time_point next_suspicion_;
};

} // namespace knapweedchute
