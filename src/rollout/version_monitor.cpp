#include <knapweedchute/rollout/version_monitor.hpp>

namespace knapweedchute {

auto version_monitor::start_counting(const std::string& service, const std::string& new_version)
    -> void
{
    services_[service] = {new_version, {}, {}};
}

auto version_monitor::add_observation(const std::string& service, const std::string& version,
                                      const version_observation& observation, time_point now)
    -> void
{
    if (services_.empty()) {
        return;
    }
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return;
    }
    auto& counters = found->second;
    (version == counters.new_version ? counters.new_counter : counters.old_counter)
        .record_request(observation, now);
}

auto version_monitor::tallies(const std::string& service) const -> version_tallies
{
    const auto found = services_.find(service);
    return found == services_.end() ? version_tallies{}
                                    : version_tallies{found->second.old_counter.tally(),
                                                      found->second.new_counter.tally()};
}

} // namespace knapweedchute
