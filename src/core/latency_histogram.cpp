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
}

auto latency_histogram::prometheus_text(const std::string& name, const std::string& labels) const
    -> std::string
{
    const auto separated = labels.empty() ? std::string{} : labels + ",";
    auto text = std::string{};
    const auto add_line = [&](const char* suffix, const std::string& braced,
                              const std::string& value) {
        text += name;
        text += suffix;
        text += braced;
        text += ' ';
        text += value;
        text += '\n';
    };
    auto below = std::uint64_t{0};
    for (const auto& bucket : boost::histogram::indexed(buckets_)) {
        below += *bucket;
        add_line("_bucket", "{" + separated + "le=\"" + number(bucket.bin().upper()) + "\"}",
                 std::to_string(below));
    }
    const auto count = static_cast<std::uint64_t>(boost::histogram::algorithm::sum(buckets_));
    const auto braced = labels.empty() ? labels : "{" + labels + "}";
    add_line("_bucket", "{" + separated + "le=\"+Inf\"}", std::to_string(count));
    add_line("_sum", braced, number(sum_s_));
    add_line("_count", braced, std::to_string(count));
    return text;
}

} // namespace knapweedchute
