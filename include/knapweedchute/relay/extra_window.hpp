#pragma once

#include <knapweedchute/core/time.hpp>

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

namespace knapweedchute {

/// \brief Bounds of the requests that all instances send beyond the first of each.
struct extra_bounds
{
    double ratio = 0.2;     ///< Extra requests per request.
    double allowance = 0.0; ///< Extra requests besides, of all instances together.
    duration window = std::chrono::seconds{10}; ///< Length of the sliding window.

    [[nodiscard]] auto operator==(const extra_bounds&) const -> bool = default;
};

/// \brief Grants hedges and retries within a budget that all instances share without talking.
///
/// \detail Each instance uses its own requests and its part of the fixed allowance, so the sum
///         over all instances keeps the bound however the requests are spread.
class extra_window
{
public:
    explicit extra_window(extra_bounds bounds) noexcept : bounds_{bounds} {}

    /// \brief Replaces the bounds; what was granted counts on.
    auto set_bounds(extra_bounds bounds) noexcept -> void { bounds_ = bounds; }

    /// \brief Sets the number of instances that may live.
    auto share_among(std::size_t instances) noexcept -> void { instances_ = instances; }

    /// \brief Notes an ordinary request to a service.
    auto on_request(const std::string& service, time_point now) -> void;

    /// \brief Takes an extra request to a service if the budget has one.
    [[nodiscard]] auto take(const std::string& service, time_point now) -> bool;

private:
    struct history
    {
        std::deque<time_point> requests;
        std::deque<time_point> extras;
    };

    extra_bounds bounds_;
    std::size_t instances_ = 1;
    std::unordered_map<std::string, history> services_;
};

} // namespace knapweedchute
