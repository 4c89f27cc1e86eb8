#pragma once

#include <knapweedchute/feed/feed_position.hpp>
#include <knapweedchute/rollout/rollout_controller.hpp>
#include <knapweedchute/route/route_table.hpp>
#include <knapweedchute/target/target_registry.hpp>

#include <functional>
#include <memory>

namespace knapweedchute {

/// \brief The state of routes, targets and rollouts as known to one instance.
class cluster_view
{
public:
    /// \param incarnation Incarnation number of this instance, unique among its starts.
    explicit cluster_view(std::uint64_t incarnation) : rollouts_{targets_, versions_, incarnation}
    {
    }

    /// \brief Replaces the active route table by a newer one.
    /// \detail One with a higher version is newer, or with the same version and a later position.
    /// \param position Position in the store's changes at which the table was written.
    /// \param now      Time at which the table becomes active.
    /// \returns Whether the table was replaced.
    auto adopt(std::shared_ptr<const route_table> table, feed_position position, time_point now)
        -> bool;

    /// \brief Records that the complete list of targets has been read once.
    auto mark_targets_complete() noexcept -> void { targets_complete_ = true; }

    /// \brief Whether requests can be served: a route table and all targets have been received.
    [[nodiscard]] auto ready() const noexcept -> bool { return table_ && targets_complete_; }

    /// \brief The active route table; null before the first one is adopted.
    [[nodiscard]] auto table() const noexcept -> const std::shared_ptr<const route_table>&
    {
        return table_;
    }
    /// \brief Time at which the active route table was adopted.
    [[nodiscard]] auto adopted_at() const noexcept -> time_point { return adopted_at_; }
    [[nodiscard]] auto targets() noexcept -> target_registry& { return targets_; }
    [[nodiscard]] auto targets() const noexcept -> const target_registry& { return targets_; }
    [[nodiscard]] auto versions() noexcept -> version_monitor& { return versions_; }
    [[nodiscard]] auto rollouts() noexcept -> rollout_controller& { return rollouts_; }

private:
    std::shared_ptr<const route_table> table_;
    feed_position table_position_;
    time_point adopted_at_;
    target_registry targets_;
    version_monitor versions_;
    rollout_controller rollouts_;
    bool targets_complete_ = false;
};

} // namespace knapweedchute
