#pragma once

#include <knapweedchute/rollout/rollout_controller.hpp>
#include <knapweedchute/route/route_table.hpp>
#include <knapweedchute/target/target_registry.hpp>

#include <functional>
#include <memory>

namespace knapweedchute {

/// \brief What an instance believes of routes, targets and moves between versions.
class cluster_view
{
public:
    /// \param source Number of this start of this instance, unlike any other.
    explicit cluster_view(std::uint64_t source) : moves_{targets_, versions_, source} {}

    /// \brief Takes a route table over unless it is older than the one in force.
    /// \returns Whether it was taken over.
    auto adopt(std::shared_ptr<const route_table> table, time_point now) -> bool;

    /// \brief Notes that the first whole list of targets has been read.
    auto complete_targets() noexcept -> void { targets_known_ = true; }

    /// \brief Whether requests can be served.
    [[nodiscard]] auto ready() const noexcept -> bool { return table_ && targets_known_; }

    [[nodiscard]] auto table() const noexcept -> const std::shared_ptr<const route_table>&
    {
        return table_;
    }
    /// \brief When the table in force was taken over.
    [[nodiscard]] auto adopted_at() const noexcept -> time_point { return adopted_at_; }
    [[nodiscard]] auto targets() noexcept -> target_registry& { return targets_; }
    [[nodiscard]] auto targets() const noexcept -> const target_registry& { return targets_; }
    [[nodiscard]] auto versions() noexcept -> version_monitor& { return versions_; }
    [[nodiscard]] auto moves() noexcept -> rollout_controller& { return moves_; }

private:
    std::shared_ptr<const route_table> table_;
    time_point adopted_at_;
    target_registry targets_;
    version_monitor versions_;
    rollout_controller moves_;
    bool targets_known_ = false;
};

} // namespace knapweedchute
