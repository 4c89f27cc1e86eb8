#include <knapweedchute/query/latency_window.hpp>

#include <algorithm>

namespace knapweedchute {
namespace {

constexpr auto p95_permil = std::size_t{950};
constexpr auto rise_divisor = std::int64_t{200};
constexpr auto fall_divisor = std::int64_t{8};

auto quantile(std::vector<duration>& values, std::size_t permil) -> duration
{
    const auto index = static_cast<std::ptrdiff_t>((values.size() - 1) * permil / 1'000);
    std::nth_element(values.begin(), values.begin() + index, values.end());
    return values[static_cast<std::size_t>(index)];
}

} // namespace

auto latency_window::add(duration latency) -> void
{
    if (values_.size() < capacity) {
        values_.push_back(latency);
    } else {
        values_[next_] = latency;
        next_ = (next_ + 1) % capacity;
    }
    ++total_;
    if (total_ % refresh_interval == 0) {
        refresh();
    }
}

auto latency_window::refresh() -> void
{
    auto sorted = values_;
    median_ = quantile(sorted, 500);
    p95_ = quantile(sorted, p95_permil);
    if (baseline_median_ == duration::zero()) {
        baseline_median_ = median_;
    }
    const auto divisor = median_ > baseline_median_ ? rise_divisor : fall_divisor;
    baseline_median_ += (median_ - baseline_median_) / divisor;
}

} // namespace knapweedchute
