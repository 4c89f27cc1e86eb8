#pragma once

#include "support/coordinator_driver.hpp"

#include <knapweedchute/query/admission_control.hpp>

#include <memory>
#include <random>
#include <vector>

namespace knapweedchute::bench {

/// \brief How a load in virtual time is set up.
struct request_load_options
{
    std::uint32_t shards = 20;
    std::uint32_t replicas = 2;
    std::size_t instances = 9;
    test::fake_target model;    ///< Every target starts like this one.
    double rate = 500.0;        ///< Searches per second over all instances.
    milliseconds deadline{200}; ///< Deadline of each search.
    bool baseline = false;      ///< Random replica, no hedge, no ejection, no limits.
    bool admission = false;     ///< Whether admission control is in front.
    std::uint64_t seed = 1;
};

/// \brief Searches at a steady mean rate against fake targets, in virtual time.
class request_load
{
public:
    explicit request_load(const request_load_options& options);

    /// \brief Offers load for a time.
    auto run(duration time) -> void;

    /// \brief Lets everything end.
    auto drain() -> void { driver_.advance(options_.deadline * 2); }

    /// \brief Forgets what ended so far.
    auto clear() -> void;

    auto set_rate(double rate) -> void { options_.rate = rate; }
    auto configure(const std::set<std::string>& zones_out) -> void;

    /// \name Figures since the last `clear`
    /// @{
    [[nodiscard]] auto latency_ms(double part) -> double;
    [[nodiscard]] auto coverage() -> double;
    [[nodiscard]] auto offered_worth() const -> double { return offered_worth_; }
    [[nodiscard]] auto answered_worth() -> double;
    [[nodiscard]] auto accepted_in_time_share() -> double;
    [[nodiscard]] auto extra_load() const -> double;
    [[nodiscard]] auto over_bearing() -> double;
    [[nodiscard]] auto answered() -> double;
    /// @}

    [[nodiscard]] auto driver() -> test::coordinator_driver& { return driver_; }

private:
    auto offer() -> void;
    auto feed_admission() -> void;

    request_load_options options_;
    std::mt19937_64 random_;
    test::coordinator_driver driver_;
    service_spec service_;
    std::vector<std::unique_ptr<admission_control>> admissions_;
    std::size_t fed_ = 0;
    double offered_worth_ = 0.0;
    std::uint64_t parts_before_ = 0;
    std::uint64_t extra_before_ = 0;
};

} // namespace knapweedchute::bench
