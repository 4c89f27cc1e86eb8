#pragma once

#include <knapweedchute/core/time.hpp>

#include <cstddef>
#include <vector>

namespace knapweedchute {

/// \brief Quantiles of the latest latencies and a long-term baseline of their median.
class latency_window
{
public:
    /// \brief Number of latencies in the window.
    static constexpr auto capacity = std::size_t{512};

    /// \brief Number of added latencies after which the quantiles are recomputed.
    static constexpr auto refresh_interval = std::size_t{64};

    /// \brief Adds a latency and replaces the oldest one if the window is full.
    auto add(duration latency) -> void;

    /// \brief Whether the quantiles have been computed at least once.
    [[nodiscard]] auto ready() const noexcept -> bool { return total_ >= refresh_interval; }

    /// \brief Median of the window; zero until `ready`.
    [[nodiscard]] auto median() const noexcept -> duration { return median_; }

    /// \brief 95th percentile of the window; zero until `ready`.
    [[nodiscard]] auto p95() const noexcept -> duration { return p95_; }

    /// \brief Long-term median that falls quickly and rises slowly; zero until `ready`.
    [[nodiscard]] auto baseline_median() const noexcept -> duration { return baseline_median_; }

private:
    auto refresh() -> void;

    std::vector<duration> values_;
    std::size_t next_ = 0;
    std::size_t total_ = 0;
    duration median_{0};
    duration p95_{0};
    duration baseline_median_{0};
};

} // namespace knapweedchute
