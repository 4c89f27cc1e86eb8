#pragma once

#include <knapweedchute/core/address.hpp>

#include <mutex>
#include <random>
#include <set>

namespace knapweedchute {

/// \brief Blocks or drops traffic to and from peers in tests; in production it blocks nothing.
class network_filter
{
public:
    /// \brief Blocks all traffic to and from a peer.
    auto block(const address& peer) -> void
    {
        const auto lock = std::lock_guard{mutex_};
        blocked_.insert(peer);
    }

    /// \brief Allows traffic to and from a peer again.
    auto unblock(const address& peer) -> void
    {
        const auto lock = std::lock_guard{mutex_};
        blocked_.erase(peer);
    }

    /// \brief Drops a random share of the datagrams, in thousandths.
    auto set_loss(unsigned permil) -> void
    {
        const auto lock = std::lock_guard{mutex_};
        loss_permil_ = permil;
    }

    /// \brief Whether traffic to and from a peer is allowed.
    [[nodiscard]] auto allows(const address& peer) const -> bool
    {
        const auto lock = std::lock_guard{mutex_};
        return !blocked_.contains(peer);
    }

    /// \brief Whether to let one datagram to or from a peer pass.
    [[nodiscard]] auto allows_datagram(const address& peer) const -> bool
    {
        const auto lock = std::lock_guard{mutex_};
        const auto dropped = loss_permil_ > 0 && random_() % 1'000U < loss_permil_;
        return !dropped && !blocked_.contains(peer);
    }

private:
    mutable std::mutex mutex_;
    std::set<address> blocked_;
    unsigned loss_permil_ = 0;
    mutable std::minstd_rand random_;
};

} // namespace knapweedchute
