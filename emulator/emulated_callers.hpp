#pragma once

#include "caller_results.hpp"
#include "emulated_fleet.hpp"

#include <memory>
#include <random>
#include <vector>

namespace knapweedchute::emulator {

/// \brief How callers behave.
struct caller_options
{
    double repeating_share = 0.0; ///< Share of callers that return at once and more often.
    int repeats = 3;              ///< Additional attempts of these callers.

    [[nodiscard]] auto operator==(const caller_options&) const -> bool = default;
};

/// \brief Callers that arrive at random, heed return times or not, and retry.
class emulated_callers
{
public:
    emulated_callers(emulated_fleet& fleet, const std::vector<request_kind>& kinds,
                     const caller_options& options, test::manual_timer_queue& timers,
                     std::uint64_t seed);

    /// \brief Plays arrivals for a time.
    /// \param requests_per_second Mean rate of new requests of all kinds together.
    auto run(duration time, double requests_per_second) -> void;

    /// \brief Forgets the results so far; requests in progress are not counted later either.
    auto clear() -> void;

    /// \brief Results by kind, in the order of the kinds.
    [[nodiscard]] auto results() const noexcept -> const std::vector<caller_results>&
    {
        return results_;
    }

    /// \brief Results of all kinds together.
    [[nodiscard]] auto total() const -> caller_results;

private:
    struct caller
    {
        std::size_t kind = 0;
        std::uint64_t number = 0;
        std::uint64_t epoch = 0;
        time_point arrived;
        int attempts = 0;
        int max_attempts = 1;
        bool repeating = false;
    };
    using shared_caller = std::shared_ptr<caller>;

    auto arrive() -> void;
    auto send(const shared_caller& asking) -> void;
    auto on_answer(const shared_caller& asking, const std::string& id, time_point sent,
                   const attempt_answer& answer) -> void;
    auto on_success(const caller& asking, time_point sent, double coverage) -> void;
    auto on_failure(const shared_caller& asking, duration retry_after) -> void;
    [[nodiscard]] auto time_left(const caller& asking) const -> duration;

    emulated_fleet* fleet_;
    const std::vector<request_kind>* kinds_;
    caller_options options_;
    test::manual_timer_queue* timers_;
    std::mt19937_64 random_;
    std::vector<caller_results> results_;
    time_point counted_from_;
    std::uint64_t epoch_ = 0;
    std::uint64_t next_ = 1;
};

} // namespace knapweedchute::emulator
