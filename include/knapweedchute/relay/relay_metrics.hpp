#pragma once

#include <knapweedchute/core/latency_histogram.hpp>
#include <knapweedchute/relay/impl/relay_call.hpp>

#include <map>
#include <string>
#include <utility>

namespace knapweedchute {

/// \brief Times and ends of requests, by route, kind and outcome.
///
/// \detail The labels are bounded: routes beyond the first few share one label, kinds and outcomes
///         are a fixed set.
class relay_metrics
{
public:
    /// \brief Notes the end of a request.
    auto on_request(const impl::relay_call& of, unsigned status, time_point now) -> void;

    /// \brief Notes how long a target took for one exchange.
    auto on_exchange(exchange_end end, duration elapsed) -> void;

    /// \brief Notes how long a request waited until its first part was sent.
    auto on_first_send(duration waited) -> void { waited_.add(waited); }

    /// \brief Everything in the Prometheus text format.
    [[nodiscard]] auto prometheus_text() const -> std::string;

private:
    [[nodiscard]] auto label_of(const std::string& route) -> std::string;

    std::map<std::string, std::string> route_labels_;
    std::map<std::pair<std::string, std::string>, latency_histogram> requests_;
    std::map<std::string, latency_histogram> exchanges_;
    latency_histogram waited_;
};

} // namespace knapweedchute
