#include <knapweedchute/config/operators_file.hpp>

#include <algorithm>

namespace knapweedchute {

auto operators_file::find_service(std::string_view name) const noexcept -> const service_spec*
{
    const auto found = std::find_if(services.begin(), services.end(),
                                    [&](const auto& service) { return service.name == name; });
    return found == services.end() ? nullptr : &*found;
}

auto operators_file::excluded_zones() const -> std::set<std::string>
{
    auto names = std::set<std::string>{};
    for (const auto& zone : availability_zones) {
        if (zone.excluded) {
            names.insert(zone.name);
        }
    }
    return names;
}

} // namespace knapweedchute
