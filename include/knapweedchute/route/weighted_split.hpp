#pragma once

#include <knapweedchute/route/route.hpp>

#include <map>
#include <string>

namespace knapweedchute {

/// \brief Divides the requests of each route among its services in exact proportion to the weights.
///
/// \detail Smooth weighted round robin: after any number of requests no service is more than one
///         request away from its share.
class weighted_split
{
public:
    /// \brief The service that the next request of a route goes to; the route must not be a query.
    [[nodiscard]] auto next(const route& from) -> const std::string&;

private:
    std::map<std::string, std::map<std::string, double>> owed_;
};

} // namespace knapweedchute
