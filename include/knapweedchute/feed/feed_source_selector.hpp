#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/feed/feed_source.hpp>
#include <knapweedchute/membership/member.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief Selects whether an instance reads changes from the store or from a peer.
///
/// \detail A few instances of each availability zone read the store and all others follow one of
///         them, so that the number of calls to the store does not grow with the fleet. If
///         instances have differing member lists, only a few more of them read the store. A reader
///         that has lost the store follows another one meanwhile. The store may serve any part of
///         the fleet: peers that refuse are passed over until one is found that does not, and the
///         store is called again each time that a few peers in a row were silent.
class feed_source_selector
{
public:
    /// \brief Selects the peer to follow.
    /// \param members Known instances, including this instance.
    /// \param self    This instance.
    /// \returns The peer, or nothing if this instance reads the store itself.
    [[nodiscard]] auto select_peer(const std::vector<member>& members, const member& self,
                                   time_point now) const -> std::optional<member>;

    /// \brief Records that reading from a peer failed, so that the peer is avoided for a while.
    auto record_failure(const std::string& instance, feed_failure failure, time_point now) -> void;

    /// \brief Records that a peer answered with a page that may be used.
    auto record_contact(const std::string& instance) -> void { failures_.erase(instance); }

    /// \brief Records that the store does not serve this instance, which then follows a peer for a
    ///        while, if there is one.
    auto record_store_failure(time_point now) -> void { store_failed_at_ = now; }

    /// \brief Records that the store serves this instance.
    auto record_store_contact() -> void { store_failed_at_.reset(); }

    /// \brief Whether the store did not serve this instance when it was called last.
    [[nodiscard]] auto store_failed() const noexcept -> bool
    {
        return store_failed_at_.has_value();
    }

private:
    /// \brief Latest failure of a peer.
    struct peer_failure
    {
        time_point at;
        bool silent = false;             ///< Whether it cost a timeout.
        std::size_t refusals_in_row = 0; ///< Refusals since it last answered or was silent.
    };

    /// \brief Returns the first members of each zone that serve and are not avoided.
    [[nodiscard]] auto available_readers(const std::vector<member>& members, const member& self,
                                         std::size_t per_zone, time_point now) const
        -> std::vector<member>;
    [[nodiscard]] static auto cooldown(const peer_failure& failure) -> duration;
    [[nodiscard]] auto is_avoided(const std::string& instance, time_point now) const -> bool;
    [[nodiscard]] auto store_is_due(const std::vector<member>& members, time_point now) const
        -> bool;

    std::map<std::string, peer_failure> failures_;
    std::optional<time_point> store_failed_at_;
};

} // namespace knapweedchute
