#include <knapweedchute/admission/service_capacity.hpp>

#include <algorithm>
#include <cmath>

namespace knapweedchute {
namespace {

/// Coverage that meets the minimum exactly must not fail because of rounding.
constexpr auto rounding_tolerance = 1e-9;

} // namespace

auto service_capacity::slots_of(const route& matched_route,
                                const std::vector<std::string>& services) const -> double
{
    auto slots = std::vector<std::int64_t>{};
    slots.reserve(services.size());
    for (const auto& service : services) {
        auto total = std::int64_t{0};
        for (const auto& target : registry_->usable(service)) {
            total += std::max<std::int64_t>(target->slots, 1);
        }
        slots.push_back(total);
    }
    if (slots.empty()) {
        return 0.0;
    }
    const auto total = static_cast<double>(slots.size());
    const auto coverage = matched_route.is_query() ? matched_route.min_coverage : 1.0;
    const auto needed = std::max(std::ceil(coverage * total - rounding_tolerance), 1.0);
    const auto scarcest = slots.begin() + static_cast<std::ptrdiff_t>(total - needed);
    std::nth_element(slots.begin(), scarcest, slots.end());
    return static_cast<double>(*scarcest) * fraction_;
}

} // namespace knapweedchute
