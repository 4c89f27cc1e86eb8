#pragma once

#include "emulated_port.hpp"
#include "emulated_targets.hpp"
#include "support/manual_timer_queue.hpp"

#include <knapweedchute/relay/relay_coordinator.hpp>

#include <limits>
#include <memory>
#include <random>
#include <vector>

namespace knapweedchute::bench {

/// \brief Who brings the parts of a query to the targets.
enum class heavy_policy : std::uint8_t
{
    ours, ///< `relay_coordinator`.
    plain ///< A random replica, no second try, waits for every shard until the time is over.
};

/// \brief The load of the users' heaviest standard days, in virtual time.
/// \detail 99 queries a second over 20 shards of two replicas with two slots; pauses; some replicas
///         7.5 times slower for a while; three instances that know only what they see themselves.
class heavy_day
{
public:
    /// \param steering Figures of the policy, for `ours`.
    heavy_day(heavy_policy policy, const relay_policy& steering, std::uint64_t seed);

    /// \brief Plays the day.
    auto run(duration length) -> void;

    /// \brief Benefit earned over benefit owed: by the square of the share, a tenth if late.
    [[nodiscard]] auto worth() const noexcept -> double { return earned_ / owed_; }

    /// \brief Requests at targets over parts of queries.
    [[nodiscard]] auto load() const noexcept -> double;

private:
    struct instance
    {
        extra_request_window extras{{0.2, 58.0, seconds{10}}};
        cold_limiter cold{[](const auto& /*target*/) { return std::nullopt; }};
        version_monitor versions;
        counter_set counters;
        memory_budget memory{std::numeric_limits<std::size_t>::max(), counters};
        std::unique_ptr<relay_coordinator> coordinator;
    };

    auto ask(bool light) -> void;
    auto ask_plainly(const route& way, const std::string& id) -> void;
    auto earn(const route& way, time_point asked, std::size_t answered) -> void;
    [[nodiscard]] auto work_of(const std::string& request) -> duration;
    [[nodiscard]] auto table() const -> std::shared_ptr<const route_table>;

    heavy_policy policy_;
    std::mt19937_64 random_;
    test::manual_timer_queue timers_;
    target_registry registry_;
    emulator::emulated_targets targets_;
    emulator::emulated_port port_;
    std::vector<std::unique_ptr<instance>> instances_;
    std::shared_ptr<const route_table> table_;
    double earned_ = 0.0;
    double owed_ = 0.0;
    std::uint64_t parts_ = 0;
    std::uint64_t next_ = 0;
};

} // namespace knapweedchute::bench
