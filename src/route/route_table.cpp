#include <knapweedchute/route/route_table.hpp>

#include <algorithm>
#include <cctype>
#include <utility>

namespace knapweedchute {
namespace {

auto normalized_host(std::string_view host) -> std::string
{
    auto name = std::string{host.substr(0, host.find(':'))};
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return name;
}

} // namespace

route_table::route_table(std::uint64_t version, std::vector<route> routes,
                         const std::vector<service_rules>& services, caller_limits limits,
                         std::shared_ptr<const workspace_directory> workspaces)
    : version_{version}, routes_{std::move(routes)}, limits_{limits}, workspaces_{
                                                                          std::move(workspaces)}
{
    for (const auto& entry : routes_) {
        by_host_[normalized_host(entry.host)].push_back(&entry);
    }
    for (auto& [host, entries] : by_host_) {
        std::stable_sort(entries.begin(), entries.end(), [](const route* left, const route* right) {
            return left->prefix.size() > right->prefix.size();
        });
    }
    for (const auto& rules : services) {
        services_.emplace(rules.name, rules);
    }
}

auto route_table::find(std::string_view host, std::string_view path) const -> const route*
{
    const auto entries = by_host_.find(normalized_host(host));
    if (entries == by_host_.end()) {
        return nullptr;
    }
    const auto match =
        std::find_if(entries->second.begin(), entries->second.end(),
                     [&](const route* entry) { return path.starts_with(entry->prefix); });
    return match == entries->second.end() ? nullptr : *match;
}

auto route_table::rules(const std::string& service) const -> const service_rules&
{
    const auto found = services_.find(service);
    return found == services_.end() ? no_rules_ : found->second;
}

} // namespace knapweedchute
