#pragma once

#include <knapweedchute/core/time.hpp>

#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <utility>

namespace knapweedchute {

/// \brief Limits of hedges and retries that all instances send together.
struct extra_request_limits
{
    double ratio = 0.2;     ///< Extra requests per ordinary request.
    double allowance = 0.0; ///< Extra requests per window beyond the ratio, all instances.
    duration window = std::chrono::seconds{10}; ///< Length of the sliding window.

    [[nodiscard]] auto operator==(const extra_request_limits&) const -> bool = default;
};

/// \brief Use of the allowance of extra requests.
struct extra_request_use
{
    double highest = 0.0; ///< Of all services, as a fraction of the whole allowance.
    bool refused = false; ///< Whether an extra request was refused.

    [[nodiscard]] auto operator==(const extra_request_use&) const -> bool = default;
};

/// \brief Limits hedges and retries to a budget that all instances share without coordination.
///
/// \detail Each instance counts its own requests and an equal part of the fixed allowance, so the
///         total stays within the limits however requests are distributed among instances.
class extra_request_window
{
public:
    explicit extra_request_window(extra_request_limits limits) noexcept : limits_{limits} {}

    /// \brief Replaces the limits; extra requests already granted still count.
    auto set_limits(extra_request_limits limits) noexcept -> void { limits_ = limits; }

    /// \brief Sets the number of instances among which the allowance is divided.
    auto set_instance_count(std::size_t instances) noexcept -> void { instance_count_ = instances; }

    /// \brief Sets what tells this instance's fraction of the allowance when it is used.
    /// \param source Empty: the allowance is divided equally.
    auto set_fraction_source(std::function<double()> source) -> void
    {
        fraction_ = std::move(source);
    }

    /// \brief Returns the use within the window and what was refused since the last call.
    [[nodiscard]] auto take_use(time_point now) -> extra_request_use;

    /// \brief Records an ordinary request to a service.
    auto on_request(const std::string& service, time_point now) -> void;

    /// \brief Takes one extra request to a service from the budget.
    /// \returns False if the budget is used up.
    [[nodiscard]] auto try_acquire(const std::string& service, time_point now) -> bool;

private:
    struct request_history
    {
        std::deque<time_point> requests;
        std::deque<time_point> extras;
    };

    extra_request_limits limits_;
    std::size_t instance_count_ = 1;
    std::function<double()> fraction_;
    bool refused_ = false;
    std::unordered_map<std::string, request_history> services_;
};

} // namespace knapweedchute
