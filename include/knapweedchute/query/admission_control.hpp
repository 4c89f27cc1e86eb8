#pragma once

#include <knapweedchute/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace knapweedchute {

/// \brief Refuses the queries of least worth while there are more than can be answered in time.
///
/// \detail The accepted share of the offered load is steered so that queries are expected to take
///         a quarter of their deadline: room for the slowest, without idle targets. The expected
///         time follows from what is in progress, so it shows an overload before its queries end.
///         Within the share the highest worth goes first, measured against the worth offered
///         lately.
class admission_control
{
public:
    /// \param most_in_progress Queries in progress above which everything is refused.
    /// \param seed             Seed of the choice among equals.
    admission_control(std::size_t most_in_progress, std::uint64_t seed);

    /// \brief Whether to accept a query.
    [[nodiscard]] auto admit(double worth, std::size_t in_progress, time_point now) -> bool;

    /// \brief A query finished that was allowed so much time.
    auto on_finished(duration allowed) noexcept -> void;

    /// \brief Share of the offered queries that is accepted.
    [[nodiscard]] auto accepted_share() const noexcept -> double { return share_; }

private:
    auto adjust(std::size_t in_progress, time_point now) -> void;
    [[nodiscard]] auto share_above(double worth) const -> double;
    [[nodiscard]] auto share_equal(double worth) const -> double;

    std::size_t most_in_progress_;
    std::mt19937_64 random_;
    std::vector<double> offered_;
    std::size_t next_offered_ = 0;
    double share_ = 1.0;
    std::size_t finished_ = 0;
    double allowed_seconds_ = 0.0;
    double finish_rate_ = 0.0;
    time_point adjusted_;
};

} // namespace knapweedchute
