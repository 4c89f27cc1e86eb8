#include <knapweedchute/relay/replica_load.hpp>

#include <algorithm>
#include <cmath>

namespace knapweedchute {
namespace {

/// Time in which recorded slowness and failures decay to 1/e of their value.
constexpr auto decay_time_constant_s = 2.0;
/// Weight of a new observation in the moving averages.
constexpr auto observation_weight = 0.3;
/// Cost that each request in progress adds, as a fraction of the cost of one.
constexpr auto queue_weight = 0.5;
/// Maximum of one observation, so that a single hung request does not raise the cost for
/// minutes.
constexpr auto max_slowness = 20.0;
/// Increase of the cost of a target that fails every request, as a multiple.
constexpr auto failure_cost = 12.0;

auto ratio(duration part, duration whole) -> double
{
    using real_seconds = std::chrono::duration<double>;
    return real_seconds(part) / std::max(real_seconds(whole), real_seconds(1e-4));
}

} // namespace

auto replica_load::on_send(time_point now, duration typical_latency) -> void
{
    open_.emplace(now, typical_latency);
}

auto replica_load::on_end(time_point sent, time_point now, duration typical_latency, bool failed)
    -> void
{
    const auto found = open_.find(sent);
    if (found != open_.end()) {
        open_.erase(found);
    }
    const auto observed = std::clamp(ratio(now - sent, typical_latency), 0.2, max_slowness);
    slowness_ = decayed(slowness_, 1.0, now);
    failures_ = decayed(failures_, 0.0, now);
    // A fast failure is no evidence of low latency.
    if (!failed || observed > slowness_) {
        slowness_ += (observed - slowness_) * observation_weight;
    }
    failures_ += ((failed ? 1.0 : 0.0) - failures_) * observation_weight;
    updated_ = now;
}

auto replica_load::cost(time_point now) const -> double
{
    return pending(now) * (1.0 + queue_weight * static_cast<double>(open_.size())) *
           failure_factor(now);
}

auto replica_load::trouble(time_point now) const -> double
{
    return pending(now) * failure_factor(now);
}

auto replica_load::pending(time_point now) const -> double
{
    const auto oldest =
        open_.empty() ? 0.0 : ratio(now - open_.begin()->first, open_.begin()->second);
    return std::max(decayed(slowness_, 1.0, now), oldest);
}

auto replica_load::failure_factor(time_point now) const -> double
{
    return 1.0 + decayed(failures_, 0.0, now) * failure_cost;
}

auto replica_load::decayed(double value, double baseline, time_point now) const -> double
{
    const auto age = std::chrono::duration<double>(now - updated_).count();
    return baseline + (value - baseline) * std::exp(-age / decay_time_constant_s);
}

} // namespace knapweedchute
