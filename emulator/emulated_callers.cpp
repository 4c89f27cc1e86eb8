#include "emulated_callers.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace knapweedchute::emulator {
namespace {

constexpr auto status_ok = 200U;
constexpr auto status_not_run = 503U;
/// A caller heeds a return time up to this fraction of the time that it has left.
constexpr auto heeded_divisor = 3;

} // namespace

auto operator+(caller_results left, const caller_results& right) -> caller_results
{
    left.requests += right.requests;
    left.in_time += right.in_time;
    left.in_time_later += right.in_time_later;
    left.late += right.late;
    left.partial += right.partial;
    left.unserved += right.unserved;
    left.attempts += right.attempts;
    left.rejected_early += right.rejected_early;
    left.rejected_late += right.rejected_late;
    left.failed += right.failed;
    left.false_not_run += right.false_not_run;
    left.slowest_rejection = std::max(left.slowest_rejection, right.slowest_rejection);
    left.in_time_by_second.resize(
        std::max(left.in_time_by_second.size(), right.in_time_by_second.size()));
    for (auto second = std::size_t{0}; second < right.in_time_by_second.size(); ++second) {
        left.in_time_by_second[second] += right.in_time_by_second[second];
    }
    return left;
}

emulated_callers::emulated_callers(emulated_fleet& fleet, const std::vector<request_kind>& kinds,
                                   const caller_options& options, test::manual_timer_queue& timers,
                                   std::uint64_t seed)
    : fleet_{&fleet}, kinds_{&kinds}, options_{options}, timers_{&timers}, random_{seed},
      results_(kinds.size()), counted_from_{timers.now()}
{
}

auto emulated_callers::run(duration time, double requests_per_second) -> void
{
    auto gap = std::exponential_distribution<double>{requests_per_second};
    const auto end = timers_->now() + time;
    while (timers_->now() < end) {
        arrive();
        fleet_->advance(
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap(random_))));
    }
}

auto emulated_callers::clear() -> void
{
    results_.assign(kinds_->size(), {});
    counted_from_ = timers_->now();
    epoch_ += 1;
}

auto emulated_callers::total() const -> caller_results
{
    return std::accumulate(results_.begin(), results_.end(), caller_results{});
}

auto emulated_callers::arrive() -> void
{
    auto shares = std::vector<double>{};
    std::transform(kinds_->begin(), kinds_->end(), std::back_inserter(shares),
                   [](const auto& kind) { return kind.share; });
    auto choose = std::discrete_distribution<std::size_t>{shares.begin(), shares.end()};
    auto repeats = std::bernoulli_distribution{options_.repeating_share};
    const auto asking = std::make_shared<caller>();
    asking->kind = choose(random_);
    asking->number = next_++;
    asking->epoch = epoch_;
    asking->arrived = timers_->now();
    asking->repeating = repeats(random_);
    asking->max_attempts =
        1 + kinds_->at(asking->kind).retries + (asking->repeating ? options_.repeats : 0);
    results_.at(asking->kind).requests += 1;
    send(asking);
}

auto emulated_callers::send(const shared_caller& asking) -> void
{
    // The kind stands first: the emulated targets read it from the id.
    const auto id = std::to_string(asking->kind) + "-" + std::to_string(asking->number) + "-" +
                    std::to_string(asking->attempts);
    asking->attempts += 1;
    if (asking->epoch == epoch_) {
        results_.at(asking->kind).attempts += 1;
    }
    const auto sent = timers_->now();
    fleet_->submit({asking->kind, id, std::chrono::duration_cast<milliseconds>(time_left(*asking))},
                   [this, asking, id, sent](const attempt_answer& answer) {
                       on_answer(asking, id, sent, answer);
                   });
}

auto emulated_callers::on_answer(const shared_caller& asking, const std::string& id,
                                 time_point sent, const attempt_answer& answer) -> void
{
    if (answer.status == status_ok) {
        if (asking->epoch == epoch_) {
            on_success(*asking, sent, answer.coverage);
        }
        return;
    }
    if (asking->epoch == epoch_) {
        auto& results = results_.at(asking->kind);
        const auto waited = timers_->now() - sent;
        if (answer.status == status_not_run) {
            (waited <= early_rejection ? results.rejected_early : results.rejected_late) += 1;
            results.slowest_rejection = std::max<duration>(results.slowest_rejection, waited);
            results.false_not_run += fleet_->targets().has_run(id) ? 1 : 0;
        } else {
            results.failed += 1;
        }
    }
    on_failure(asking, answer.retry_after);
}

auto emulated_callers::on_success(const caller& asking, time_point sent, double coverage) -> void
{
    auto& results = results_.at(asking.kind);
    const auto goal = kinds_->at(asking.kind).goal;
    results.partial += coverage < 1.0 ? 1 : 0;
    if (timers_->now() - asking.arrived > goal) {
        (timers_->now() - sent > goal ? results.late : results.in_time_later) += 1;
        return;
    }
    results.in_time += 1;
    const auto second = static_cast<std::size_t>((asking.arrived - counted_from_) / seconds{1});
    results.in_time_by_second.resize(std::max(results.in_time_by_second.size(), second + 1));
    results.in_time_by_second[second] += 1;
}

auto emulated_callers::on_failure(const shared_caller& asking, duration retry_after) -> void
{
    const auto left = time_left(*asking);
    if (asking->attempts >= asking->max_attempts || left <= duration{0}) {
        if (asking->epoch == epoch_) {
            results_.at(asking->kind).unserved += 1;
        }
        return;
    }
    const auto wait =
        asking->repeating ? duration{0} : std::min<duration>(retry_after, left / heeded_divisor);
    timers_->at(timers_->now() + wait, [this, asking] { send(asking); });
}

auto emulated_callers::time_left(const caller& asking) const -> duration
{
    return asking.arrived + kinds_->at(asking.kind).deadline - timers_->now();
}

} // namespace knapweedchute::emulator
