#include <knapweedchute/move/version_watch.hpp>

namespace knapweedchute {

auto version_watch::begin(const std::string& service, const std::string& new_version) -> void
{
    services_[service] = {new_version, {}, {}};
}

auto version_watch::add(const std::string& service, const std::string& version,
                        const version_observation& seen, time_point now) -> void
{
    if (services_.empty()) {
        return;
    }
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return;
    }
    auto& counts = found->second;
    (version == counts.new_version ? counts.of_new : counts.of_old).add(seen, now);
}

auto version_watch::tallies(const std::string& service) const -> version_tallies
{
    const auto found = services_.find(service);
    return found == services_.end()
               ? version_tallies{}
               : version_tallies{found->second.of_old.tally(), found->second.of_new.tally()};
}

} // namespace knapweedchute
