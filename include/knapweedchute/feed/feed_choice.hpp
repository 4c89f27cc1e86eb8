#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/membership/member.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief Decides from whom an instance learns of changes.
///
/// \detail A few instances of each availability zone read the store, all others follow one of
///         them, so that the calls to the store do not grow with the fleet. Wrong views of the
///         members only make a few more read it.
class feed_choice
{
public:
    /// \brief Instances of each availability zone that read the store.
    static constexpr auto readers_per_zone = std::size_t{3};

    /// \brief The peer to follow; nothing if this instance is to read the store itself.
    [[nodiscard]] auto choose(const std::vector<member>& members, const member& self,
                              time_point now) const -> std::optional<member>;

    /// \brief Notes that a peer could not tell.
    auto on_failure(const std::string& instance, time_point now) -> void;

private:
    std::map<std::string, time_point> failed_;
};

} // namespace knapweedchute
