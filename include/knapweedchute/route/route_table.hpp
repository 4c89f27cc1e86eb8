#pragma once

#include <knapweedchute/route/caller_limits.hpp>
#include <knapweedchute/route/route.hpp>
#include <knapweedchute/route/service_rules.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace knapweedchute {

/// \brief One version of all routes. Immutable: a newer version replaces it whole.
///
/// \detail A request keeps the table that it was admitted under until it ends.
/// \code
/// const auto table = route_table{7, routes, services, limits};
/// const auto* found = table.find("shop.example", "/boards/long");
/// \endcode
class route_table
{
public:
    /// \param version  Version; a table is only ever replaced by one with a higher version.
    /// \param routes   Routes in any order.
    /// \param services Bounds of services.
    /// \param limits   Limits of callers.
    route_table(std::uint64_t version, std::vector<route> routes,
                const std::vector<service_rules>& services, caller_limits limits);

    /// \brief The route with the longest prefix of a host that begins `path`.
    /// \param host Host of the request; case and a port are ignored.
    /// \param path Path without a query.
    /// \returns The route, or null if none fits.
    [[nodiscard]] auto find(std::string_view host, std::string_view path) const -> const route*;

    /// \brief Bounds of a service; those of an unnamed service where none are set.
    [[nodiscard]] auto rules(const std::string& service) const -> const service_rules&;

    [[nodiscard]] auto version() const noexcept -> std::uint64_t { return version_; }
    [[nodiscard]] auto limits() const noexcept -> const caller_limits& { return limits_; }
    [[nodiscard]] auto routes() const noexcept -> const std::vector<route>& { return routes_; }

private:
    std::uint64_t version_;
    std::vector<route> routes_;
    std::unordered_map<std::string, std::vector<const route*>> by_host_;
    std::unordered_map<std::string, service_rules> services_;
    service_rules no_rules_;
    caller_limits limits_;
};

} // namespace knapweedchute
