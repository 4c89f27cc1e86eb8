#include <knapweedchute/config/service_spec.hpp>

#include <algorithm>

namespace knapweedchute {

auto service_spec::find_version(std::string_view version_name) const noexcept -> const version_spec*
{
    const auto found = std::find_if(versions.begin(), versions.end(), [&](const auto& candidate) {
        return candidate.name == version_name;
    });
    return found == versions.end() ? nullptr : &*found;
}

} // namespace knapweedchute
