#pragma once

#include <knapweedchute/admission/workspace_queue.hpp>
#include <knapweedchute/core/time.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace knapweedchute {

/// \brief Requests that wait for admission to one group of services, by kind.
///
/// \detail For more arrivals than can be admitted at once. The kind whose requests were admitted
///         least, relative to its arrivals and weighted by priority, is next; within a kind, the
///         `workspace_queue` decides. No kind starves: the admitted share of a kind is at least
///         `priority_weight` to the power of the difference in priority, of the share of any other
///         kind that has requests waiting. Each operation takes logarithmic time in the number of
///         waiting requests.
class waiting_queue
{
public:
    /// \brief Weight of a kind relative to one whose priority is one step higher.
    static constexpr auto priority_weight = 0.85;

    /// \brief Records the arrival of a request of a kind, whether or not it will wait.
    /// \param workspace Workspace that the request belongs to; empty: none.
    auto on_arrival(const std::string& kind, int priority, time_point now,
                    const std::string& workspace = {}) -> void;

    /// \brief Records that a request of a kind was admitted without waiting.
    /// \param workspace Workspace that the request belongs to; empty: none.
    auto on_admitted(const std::string& kind, time_point now, const std::string& workspace = {})
        -> void;

    /// \brief Adds a request; its kind must have been recorded as arrived.
    auto push(const waiting_request& request) -> void;

    /// \brief Removes and returns the request that is admitted next; empty if none waits.
    [[nodiscard]] auto pop(time_point now) -> std::optional<waiting_request>;

    /// \brief Removes a request.
    /// \returns Whether it was waiting.
    auto remove(const waiting_request& request) -> bool;

    /// \brief Removes and returns a request that can no longer start in time; empty if none.
    [[nodiscard]] auto pop_expired(time_point now) -> std::optional<waiting_request>;

    /// \brief Number of waiting requests of all kinds.
    [[nodiscard]] auto size() const noexcept -> std::size_t { return size_; }

    /// \brief Number of waiting requests of one kind.
    [[nodiscard]] auto size_of(const std::string& kind) const -> std::size_t;

    /// \brief Number of waiting requests of one kind and workspace.
    [[nodiscard]] auto size_of(const std::string& kind, const std::string& workspace) const
        -> std::size_t;

    /// \brief Returns the fraction of all recent arrivals that were of one kind, 0 to 1.
    [[nodiscard]] auto arrival_share(const std::string& kind) const -> double;

    /// \brief Returns the fraction of the admissions of a kind that a workspace can expect, above 0
    ///        to 1.
    [[nodiscard]] auto admission_share(const std::string& kind, const std::string& workspace) const
        -> double;

private:
    struct kind_state
    {
        double weight = 1.0;
        double arrived = 0.0;  ///< Recent arrivals; decays with time.
        double admitted = 0.0; ///< Recent admissions; decays with time.
        workspace_queue waiting;
    };

    auto decay(time_point now) -> void;

    std::map<std::string, kind_state> kinds_;
    std::size_t size_ = 0;
    time_point decayed_at_;
};

} // namespace knapweedchute
