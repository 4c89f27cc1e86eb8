#include <knapweedchute/core/latency_histogram.hpp>

#include <cstdio>

namespace knapweedchute {
namespace {

/// Upper ends of buckets in seconds.
const auto edges = std::vector<double>{0.0,  0.002, 0.005, 0.01, 0.02, 0.04, 0.06, 0.1,
                                       0.15, 0.25,  0.4,   0.6,  1.0,  2.0,  4.0,  10.0};

auto number(double value) -> std::string
{
    char text[32];
    std::snprintf(text, sizeof(text), "%g", value);
    return text;
}

} // namespace

latency_histogram::latency_histogram()
    : buckets_{std::tuple{axis(edges)}, boost::histogram::dense_storage<std::uint32_t>{}}
{
}

auto latency_histogram::add(duration time) -> void
{
    const auto time_s = std::chrono::duration<double>(time).count();
    buckets_(time_s);
    sum_s_ += time_s;
    count_ += 1;
}

auto latency_histogram::prometheus_text(const std::string& name, const std::string& labels) const
    -> std::string
{
    const auto comma = labels.empty() ? "" : ",";
    auto text = std::string{};
    auto below = std::uint64_t{0};
    for (const auto& bucket : boost::histogram::indexed(buckets_)) {
        below += *bucket;
        text += name + "_bucket{" + labels + comma + "le=\"" + number(bucket.bin().upper()) +
                "\"} " + std::to_string(below) + "\n";
    }
    const auto braced = labels.empty() ? labels : "{" + labels + "}";
    text += name + "_bucket{" + labels + comma + "le=\"+Inf\"} " + std::to_string(count_) + "\n";
    text += name + "_sum" + braced + " " + number(sum_s_) + "\n";
    text += name + "_count" + braced + " " + std::to_string(count_) + "\n";
    return text;
}

} // namespace knapweedchute
