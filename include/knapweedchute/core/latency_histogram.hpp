#pragma once

#include <knapweedchute/core/time.hpp>

#include <boost/histogram.hpp>

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace knapweedchute {

/// \brief Times by bucket, in the form that Prometheus reads.
/// \detail Buckets are dense around the goals of routes, 60 to 600 ms.
class latency_histogram
{
public:
    latency_histogram();

    /// \brief Notes one time.
    auto add(duration time) -> void;

    /// \brief Lines of the Prometheus text format.
    /// \param name   Name of the metric, in seconds.
    /// \param labels Labels without braces, for example `route="a"`; may be empty.
    [[nodiscard]] auto prometheus_text(const std::string& name, const std::string& labels) const
        -> std::string;

private:
    using axis = boost::histogram::axis::variable<double>;

    boost::histogram::histogram<std::tuple<axis>, boost::histogram::dense_storage<std::uint32_t>>
        buckets_;
    double sum_s_ = 0.0;
};

} // namespace knapweedchute
