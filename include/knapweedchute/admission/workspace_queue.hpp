#pragma once

#include <knapweedchute/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace knapweedchute {

/// \brief A request that waits to be admitted.
struct waiting_request
{
    std::uint64_t id = 0;       ///< Id of the request, unique in this process.
    std::string kind;           ///< Requests of one kind and workspace are admitted in the order of
                                ///< `latest_start`.
    int priority = 0;           ///< Priority of the kind; 0 is served first.
    time_point latest_start;    ///< When it is too late to start the request.
    std::string workspace = {}; ///< Workspace that it belongs to; empty: none.

    [[nodiscard]] auto operator==(const waiting_request&) const -> bool = default;
};

/// \brief Requests of one kind that wait for admission, by workspace.
///
/// \detail The workspace whose requests were admitted least is next, so that one that sends much
///         takes no room that others ask for. A workspace whose admitted share of its arrivals is
///         below `min_relative_share` of the share of all goes before, so that it doesn't starve.
///         Within a workspace, the request that must start first is next. Requests without a
///         workspace count as those of one workspace. Each operation takes logarithmic time in the
///         number of waiting requests; idle workspaces are forgotten.
class workspace_queue
{
public:
    /// \brief Least admitted share of a workspace's arrivals, relative to that of all arrivals.
    static constexpr auto min_relative_share = 0.35;
    /// \brief Workspaces with state of their own; those beyond share one state.
    static constexpr auto max_workspaces = std::size_t{1'024};

    /// \brief Records the arrival of a request of a workspace, whether or not it will wait.
    auto on_arrival(const std::string& workspace, time_point now) -> void;

    /// \brief Records that a request of a workspace was admitted without waiting.
    auto on_admitted(const std::string& workspace) -> void;

    /// \brief Adds a request.
    auto push(const waiting_request& request) -> void;

    /// \brief Removes and returns the request that is admitted next, and counts it as admitted;
    ///        empty if none waits.
    [[nodiscard]] auto pop() -> std::optional<waiting_request>;

    /// \brief Removes a request.
    /// \returns Whether it was waiting.
    auto remove(const waiting_request& request) -> bool;

    /// \brief Removes and returns a request that can no longer start in time; empty if none.
    [[nodiscard]] auto pop_expired(time_point now) -> std::optional<waiting_request>;

    /// \brief Number of waiting requests of all workspaces.
    [[nodiscard]] auto size() const noexcept -> std::size_t { return waiting_.size(); }

    /// \brief Number of waiting requests of one workspace.
    [[nodiscard]] auto size_of(const std::string& workspace) const -> std::size_t;

    /// \brief Returns the fraction of the admissions of this kind that a workspace whose requests
    ///        wait can expect, above 0 to 1.
    [[nodiscard]] auto admission_share(const std::string& workspace) const -> double;

    /// \brief Number of workspaces with state, including that of requests without one.
    [[nodiscard]] auto workspace_count() const noexcept -> std::size_t { return shares_.size(); }

private:
    using place = std::pair<time_point, std::uint64_t>;
    /// Counted value, first latest start and name of a workspace with waiting requests.
    using rank = std::tuple<double, time_point, std::string>;

    struct share
    {
        double arrived = 0.0;  ///< Recent arrivals; decays with time.
        double admitted = 0.0; ///< Recent admissions; decays with time.
        std::set<place> waiting;
    };

    struct entry
    {
        waiting_request request;
        std::string share_name;
    };

    [[nodiscard]] static auto admitted_part(const share& counted) -> double;
    [[nodiscard]] auto share_name(const std::string& workspace) const -> const std::string&;
    [[nodiscard]] auto find_share(const std::string& workspace) const -> const share*;
    template <typename Change>
    auto change_share(const std::string& name, Change change) -> void;
    auto insert_ranks(const std::string& name, const share& ranked) -> void;
    auto erase_ranks(const std::string& name, const share& ranked) -> void;
    auto take(std::map<place, entry>::iterator taken) -> waiting_request;
    auto decay(time_point now) -> void;

    std::unordered_map<std::string, share> shares_;
    std::map<place, entry> waiting_;
    std::set<rank> by_admitted_; ///< Workspaces with waiting requests, by recent admissions.
    std::set<rank> by_part_;     ///< The same, by the admitted part of their arrivals.
    double arrived_ = 0.0;       ///< Recent arrivals of all; decays with time.
    double admitted_ = 0.0;      ///< Recent admissions of all; decays with time.
    time_point decayed_at_;
};

} // namespace knapweedchute
