#include <knapweedchute/relay/replica_load.hpp>

#include <algorithm>
#include <cmath>

namespace knapweedchute {
namespace {

/// Seconds after which remembered slowness and failures have faded to a third.
constexpr auto fading_s = 2.0;
/// Part of a new observation in the remembered value.
constexpr auto observation_weight = 0.3;
/// Cost that each open request adds, as a part of one request's.
constexpr auto queue_weight = 0.5;
/// Bound of one observation, so that one stuck request is not remembered for minutes.
constexpr auto largest_slowness = 20.0;
/// Cost of a target that fails every request, as a multiple.
constexpr auto failure_cost = 12.0;

auto ratio(duration part, duration whole) -> double
{
    using real_seconds = std::chrono::duration<double>;
    return real_seconds(part) / std::max(real_seconds(whole), real_seconds(1e-4));
}

} // namespace

auto replica_load::on_send(time_point now, duration usual) -> void
{
    open_.emplace(now, usual);
}

auto replica_load::on_end(time_point sent, time_point now, duration usual, bool failed) -> void
{
    const auto known = open_.find(sent);
    if (known != open_.end()) {
        open_.erase(known);
    }
    const auto seen = std::clamp(ratio(now - sent, usual), 0.2, largest_slowness);
    slowness_ = faded(slowness_, 1.0, now);
    failures_ = faded(failures_, 0.0, now);
    // A quick failure says nothing about speed.
    if (!failed || seen > slowness_) {
        slowness_ += (seen - slowness_) * observation_weight;
    }
    failures_ += ((failed ? 1.0 : 0.0) - failures_) * observation_weight;
    updated_ = now;
}

auto replica_load::cost(time_point now) const -> double
{
    const auto slowness = faded(slowness_, 1.0, now);
    const auto failures = faded(failures_, 0.0, now);
    const auto oldest =
        open_.empty() ? 0.0 : ratio(now - open_.begin()->first, open_.begin()->second);
    const auto pending = std::max(slowness, oldest);
    return pending * (1.0 + queue_weight * static_cast<double>(open_.size())) *
           (1.0 + failures * failure_cost);
}

auto replica_load::faded(double value, double rest, time_point now) const -> double
{
    const auto age = std::chrono::duration<double>(now - updated_).count();
    return rest + (value - rest) * std::exp(-age / fading_s);
}

} // namespace knapweedchute
