#pragma once

#include <knapweedchute/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace knapweedchute {

/// \brief Sheds the queries with the lowest answer value during an overload.
///
/// \detail A feedback controller adjusts the accepted share of the offered load so that the
///         expected query time is a quarter of the time allowed. This leaves a margin for slow
///         queries while targets stay busy. The expected time is computed from the queries in
///         progress, so it shows an overload before the affected queries finish. Queries are
///         ranked by answer value among those offered recently; the highest values are accepted.
class admission_control
{
public:
    /// \param max_in_progress Number of queries in progress at which all further ones are refused.
    /// \param seed            Seed for the random choice among queries of equal value.
    admission_control(std::size_t max_in_progress, std::uint64_t seed);

    /// \brief Decides whether a query is accepted.
    /// \param answer_value Value of an answer as stated by the caller.
    /// \param in_progress  Queries in progress, without this one.
    /// \returns False if the query is to be refused.
    [[nodiscard]] auto admit(double answer_value, std::size_t in_progress, time_point now) -> bool;

    /// \brief Records that a query finished.
    /// \param time_allowed Time from the start of the query to its deadline.
    auto on_finished(duration time_allowed) noexcept -> void;

    /// \brief Share of the offered queries that is accepted, from 0 to 1.
    [[nodiscard]] auto accepted_share() const noexcept -> double { return accepted_share_; }

private:
    auto adjust_share(std::size_t in_progress, time_point now) -> void;
    [[nodiscard]] auto share_above(double answer_value) const -> double;
    [[nodiscard]] auto share_equal(double answer_value) const -> double;

    std::size_t max_in_progress_;
    std::mt19937_64 random_;
    std::vector<double> recent_values_;
    std::size_t next_recent_value_ = 0;
    double accepted_share_ = 1.0;
    std::size_t finished_count_ = 0;
    double total_allowed_seconds_ = 0.0;
    double finish_rate_ = 0.0;
    time_point last_adjustment_;
};

} // namespace knapweedchute
