#include <knapweedchute/route/weighted_split.hpp>

namespace knapweedchute {

auto weighted_split::next(const route& from) -> const std::string&
{
    if (from.split.size() == 1) {
        return from.split.front().service;
    }
    auto& owed = owed_[from.name];
    auto total = 0.0;
    const auto* chosen = &from.split.front();
    for (const auto& part : from.split) {
        total += part.weight;
        owed[part.service] += part.weight;
        if (owed[part.service] > owed[chosen->service]) {
            chosen = &part;
        }
    }
    owed[chosen->service] -= total;
    return chosen->service;
}

} // namespace knapweedchute
