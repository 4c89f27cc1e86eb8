#pragma once

#include <knapweedchute/core/address.hpp>

#include <mutex>
#include <random>
#include <set>

namespace knapweedchute {

/// \brief Peers that a process neither sends to nor hears; empty but in tests of cuts.
class network_gate
{
public:
    /// \brief Cuts the way to a peer.
    auto close(const address& peer) -> void
    {
        const auto lock = std::lock_guard{mutex_};
        closed_.insert(peer);
    }

    /// \brief Restores the way to a peer.
    auto open(const address& peer) -> void
    {
        const auto lock = std::lock_guard{mutex_};
        closed_.erase(peer);
    }

    /// \brief Loses a share of the datagrams, in thousandths.
    auto set_loss(unsigned permil) -> void
    {
        const auto lock = std::lock_guard{mutex_};
        loss_permil_ = permil;
    }

    /// \brief Whether the way to a peer is open.
    [[nodiscard]] auto passes(const address& peer) const -> bool
    {
        const auto lock = std::lock_guard{mutex_};
        return !closed_.contains(peer);
    }

    /// \brief Whether one datagram to or from a peer gets through.
    [[nodiscard]] auto passes_datagram(const address& peer) const -> bool
    {
        const auto lock = std::lock_guard{mutex_};
        const auto lost = loss_permil_ > 0 && random_() % 1'000U < loss_permil_;
        return !lost && !closed_.contains(peer);
    }

private:
    mutable std::mutex mutex_;
    std::set<address> closed_;
    unsigned loss_permil_ = 0;
    mutable std::minstd_rand random_;
};

} // namespace knapweedchute
