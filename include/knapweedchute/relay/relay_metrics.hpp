#pragma once

#include <knapweedchute/core/latency_histogram.hpp>
#include <knapweedchute/relay/impl/relay_call.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace knapweedchute {

/// \brief Latency histograms of requests by route, kind and outcome, and of exchanges by status.
///
/// \detail The number of labels is bounded: routes beyond a maximum share one label; kinds
///         and outcomes are fixed sets.
class relay_metrics
{
public:
    /// \brief Records the outcome and duration of a request that ended at `now`.
    auto on_request(const impl::relay_call& call, unsigned status, time_point now) -> void;

    /// \brief Records the duration of one exchange with a target.
    auto on_exchange(exchange_status status, duration elapsed) -> void;

    /// \brief Records that a part was sent.
    /// \param own_zone Whether to a target in the availability zone of this instance.
    auto on_part_sent(bool own_zone) noexcept -> void
    {
        (own_zone ? parts_to_own_zone_ : parts_to_other_zones_) += 1;
    }

    /// \brief Records the time from reading a request to sending its first part.
    auto on_first_send(duration waited) -> void { waited_.add(waited); }

    /// \brief Returns all metrics in the Prometheus text format.
    [[nodiscard]] auto prometheus_text() const -> std::string;

private:
    [[nodiscard]] auto label_of(const std::string& route) -> std::string;

    std::map<std::string, std::string> route_labels_;
    std::map<std::pair<std::string, std::string>, latency_histogram> requests_;
    std::map<std::string, latency_histogram> exchanges_;
    latency_histogram waited_;
    std::uint64_t parts_to_own_zone_ = 0;
    std::uint64_t parts_to_other_zones_ = 0;
};

} // namespace knapweedchute
