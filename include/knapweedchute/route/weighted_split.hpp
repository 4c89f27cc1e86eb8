#pragma once

#include <knapweedchute/route/route.hpp>

#include <map>
#include <string>

namespace knapweedchute {

/// \brief Divides the requests of each route among its services in proportion to their weights.
///
/// \detail Smooth weighted round robin: after any number of requests, each service has received its
///         exact share to within one request.
class weighted_split
{
public:
    /// \brief Returns the service for the next request of a route, which must not be a query.
    [[nodiscard]] auto next_service(const route& matched_route) -> const std::string&;

private:
    std::map<std::string, std::map<std::string, double>> current_weights_;
};

} // namespace knapweedchute
