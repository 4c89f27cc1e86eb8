#pragma once

#include <knapweedchute/route/caller_limits.hpp>
#include <knapweedchute/route/route.hpp>
#include <knapweedchute/route/service_rules.hpp>
#include <knapweedchute/workspace/workspace_directory.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace knapweedchute {

/// \brief One immutable version of all routes; a newer table replaces it.
///
/// \detail A request uses the table that was active at its admission until it ends.
/// \code
/// const auto table = route_table{7, routes, services, limits};
/// const auto* found = table.find("shop.example", "/boards/long");
/// \endcode
class route_table
{
public:
    /// \param version  Version; a table is only replaced by one with a higher version.
    /// \param routes   Routes in any order.
    /// \param services Limits of services.
    /// \param limits   Limits of callers.
    /// \param workspaces Workspaces and their keys; null: requests need no key.
    route_table(std::uint64_t version, std::vector<route> routes,
                const std::vector<service_rules>& services, caller_limits limits,
                std::shared_ptr<const workspace_directory> workspaces = nullptr);

    /// \brief Returns the route of a host with the longest prefix that matches `path`.
    /// \param host Host of the request; case and port are ignored.
    /// \param path Path without the query string.
    /// \returns The route, or null if none matches.
    [[nodiscard]] auto find(std::string_view host, std::string_view path) const -> const route*;

    /// \brief Returns the limits of a service, or the defaults if none are set.
    [[nodiscard]] auto rules(const std::string& service) const -> const service_rules&;

    [[nodiscard]] auto version() const noexcept -> std::uint64_t { return version_; }
    [[nodiscard]] auto limits() const noexcept -> const caller_limits& { return limits_; }
    /// \brief Workspaces and their keys; null if requests need no key.
    [[nodiscard]] auto workspaces() const noexcept -> const workspace_directory*
    {
        return workspaces_.get();
    }
    [[nodiscard]] auto routes() const noexcept -> const std::vector<route>& { return routes_; }

private:
    std::uint64_t version_;
    std::vector<route> routes_;
    std::unordered_map<std::string, std::vector<const route*>> by_host_;
    std::unordered_map<std::string, service_rules> services_;
    service_rules no_rules_;
    caller_limits limits_;
    std::shared_ptr<const workspace_directory> workspaces_;
};

} // namespace knapweedchute
