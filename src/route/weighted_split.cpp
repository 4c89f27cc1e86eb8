#include <knapweedchute/route/weighted_split.hpp>

namespace knapweedchute {

auto weighted_split::next_service(const route& matched_route) -> const std::string&
{
    if (matched_route.split.size() == 1) {
        return matched_route.split.front().service;
    }
    auto& current_weights = current_weights_[matched_route.name];
    auto total = 0.0;
    const auto* chosen = &matched_route.split.front();
    for (const auto& part : matched_route.split) {
        total += part.weight;
        current_weights[part.service] += part.weight;
        if (current_weights[part.service] > current_weights[chosen->service]) {
            chosen = &part;
        }
    }
    current_weights[chosen->service] -= total;
    return chosen->service;
}

} // namespace knapweedchute
