#pragma once

#include <knapweedchute/query/version_counter.hpp>

#include <map>
#include <string>

namespace knapweedchute {

/// \brief Counts of the old and the new version of one service.
struct version_tallies
{
    version_tally old_version; ///< All versions but the new one.
    version_tally new_version; ///< The version that should take over.

    [[nodiscard]] auto operator==(const version_tallies&) const -> bool = default;
};

/// \brief Counts what became of requests to services that move between versions.
class version_watch
{
public:
    /// \brief Starts to count for a service, anew if another version should take over.
    auto begin(const std::string& service, const std::string& new_version) -> void;

    /// \brief Forgets a service.
    auto end(const std::string& service) -> void { services_.erase(service); }

    /// \brief Notes a request that a target of a version has finished.
    auto add(const std::string& service, const std::string& version,
             const version_observation& seen, time_point now) -> void;

    /// \brief Counts so far; zeros for a service that does not move.
    [[nodiscard]] auto tallies(const std::string& service) const -> version_tallies;

private:
    struct counted
    {
        std::string new_version;
        version_counter of_old;
        version_counter of_new;
    };

    std::map<std::string, counted> services_;
};

} // namespace knapweedchute
