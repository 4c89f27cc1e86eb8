#pragma once

#include <knapweedchute/core/time.hpp>
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
///         instances have differing member lists, only a few more of them read the store.
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
    auto record_failure(const std::string& instance, time_point now) -> void;

private:
    std::map<std::string, time_point> failure_times_;
};

} // namespace knapweedchute
