#pragma once

#include "emulated_port.hpp"
#include "emulated_targets.hpp"
#include "fleet_options.hpp"
#include "request_kind.hpp"
#include "support/manual_timer_queue.hpp"

#include <knapweedchute/relay/relay_coordinator.hpp>

#include <functional>
#include <limits>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace knapweedchute::emulator {

/// \brief A caller's attempt.
struct attempt
{
    std::size_t kind = 0;      ///< Index of its kind.
    std::string id;            ///< Id, unique among all attempts.
    milliseconds time_left{0}; ///< Time until the caller gives up.
};

/// \brief An answer as its caller sees it.
struct attempt_answer
{
    unsigned status = 0;     ///< HTTP status.
    double coverage = 0.0;   ///< Share of the shards in the answer, 0 to 1.
    duration retry_after{0}; ///< Time to return that the answer states; 0 if none.
};

/// \brief Instances, targets and routes in virtual time.
/// \detail The instances share nothing but the targets: each knows only what it sees itself.
class emulated_fleet
{
public:
    /// \brief Receives the answer of an attempt, possibly from inside `submit`.
    using responder = std::function<void(attempt_answer)>;

    /// \param kinds Kinds of requests; they must outlive the fleet.
    /// \param seed  Seed of work times, faults and selections.
    emulated_fleet(const fleet_options& options, const std::vector<request_kind>& kinds,
                   test::manual_timer_queue& timers, std::uint64_t seed);

    /// \brief Sends an attempt to a random instance.
    auto submit(const attempt& sent, responder respond) -> void;

    /// \brief Passes time, with the periodic work of the instances.
    auto advance(duration time) -> void;

    /// \brief Replaces the model of the targets that a filter accepts.
    /// \param accepts Receives shard, replica and availability zone index of each target.
    auto change(const std::function<bool(std::size_t, std::size_t, std::size_t)>& accepts,
                const std::function<void(target_model&)>& apply) -> void;

    /// \brief Requests per second that all slots can process.
    [[nodiscard]] auto capacity() const -> double;

    [[nodiscard]] auto targets() const noexcept -> const emulated_targets& { return targets_; }

    /// \brief Sum of a counter over all instances.
    [[nodiscard]] auto count(counter which) const -> std::uint64_t;

private:
    struct instance
    {
        instance(const fleet_options& options, const std::string& zone, emulated_fleet& owner,
                 std::uint64_t seed);

        emulated_port port;
        extra_request_window extras{{0.2, 58.0, seconds{10}}};
        cold_limiter cold{[](const auto& /*target*/) { return std::nullopt; }};
        version_monitor versions;
        counter_set counters;
        memory_budget memory{std::numeric_limits<std::size_t>::max(), counters};
        relay_coordinator coordinator;
    };

    [[nodiscard]] auto make_table() const -> std::shared_ptr<const route_table>;
    [[nodiscard]] auto work_of(const std::string& request) -> duration;
    auto submit_plainly(const attempt& sent, responder respond) -> void;
    auto add_targets() -> void;

    fleet_options options_;
    const std::vector<request_kind>* kinds_;
    test::manual_timer_queue* timers_;
    std::mt19937_64 random_;
    target_registry registry_;
    emulated_targets targets_;
    std::shared_ptr<const route_table> table_;
    std::vector<std::unique_ptr<instance>> instances_;
    time_point next_maintenance_;
};

} // namespace knapweedchute::emulator
