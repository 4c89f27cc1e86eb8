#include "queued_targets.hpp"

#include <utility>

namespace knapweedchute::bench {
namespace {

/// Usual work of the two kinds of queries of the users' heavy days.
constexpr auto heavy_work = std::chrono::duration<double, std::milli>(20.0);
constexpr auto light_work = std::chrono::duration<double, std::milli>(6.7);
constexpr auto work_spread = 0.35;
constexpr auto way_there_and_back = milliseconds{1};

} // namespace

auto queued_targets::send(exchange_order order, listener done) -> exchange_id
{
    const auto id = next_++;
    auto& target = targets_[order.target->id];
    const auto full = target.waiting.size() >= target.model.queue;
    jobs_[id] = {id, order.target->id, order.request_id, std::move(done), false};
    if (full) {
        timers_->at(timers_->now() + way_there_and_back, [this, id] {
            if (auto node = jobs_.extract(id); !node.empty()) {
                auto result = exchange_result{};
                result.status = exchange_status::not_run;
                node.mapped().done(std::move(result));
            }
        });
        return id;
    }
    target.waiting.push_back(id);
    work(order.target->id);
    return id;
}

auto queued_targets::cancel(exchange_id exchange) -> void
{
    timers_->at(timers_->now(), [this, exchange] {
        auto node = jobs_.extract(exchange);
        if (node.empty()) {
            return;
        }
        auto& target = targets_[node.mapped().target];
        std::erase(target.waiting, exchange);
        target.busy -= node.mapped().working ? 1 : 0;
        work(node.mapped().target);
        node.mapped().done({});
    });
}

auto queued_targets::work(const std::string& id) -> void
{
    auto& target = targets_[id];
    while (target.busy < target.model.slots && !target.waiting.empty()) {
        const auto next = target.waiting.front();
        target.waiting.pop_front();
        auto& started = jobs_.at(next);
        started.working = true;
        target.busy += 1;
        timers_->at(timers_->now() + time_of(started, target.model),
                    [this, next] { finish(next); });
    }
}

auto queued_targets::time_of(const job& which, const target_model& model) -> duration
{
    auto spread = std::lognormal_distribution<double>{0.0, work_spread};
    const auto usual = which.request.starts_with('l') ? light_work : heavy_work;
    const auto time = std::chrono::duration_cast<duration>(usual * spread(random_) * model.speed);
    const auto since = (timers_->now().time_since_epoch() + model.phase) % model.pause_every;
    // What meets a pause goes on after it; what starts in one waits for its end.
    if (since < model.pause) {
        return time + model.pause - since;
    }
    return since + time > model.pause_every ? time + model.pause : time;
}

auto queued_targets::finish(exchange_id exchange) -> void
{
    auto node = jobs_.extract(exchange);
    if (node.empty()) {
        return;
    }
    auto& ended = node.mapped();
    targets_[ended.target].busy -= 1;
    work(ended.target);
    auto result = exchange_result{};
    result.status = exchange_status::answered;
    result.reused_connection = true;
    result.answer = {200, {{"Proof", ended.target + "." + ended.request}}, std::string(16, 'r')};
    ended.done(std::move(result));
}

} // namespace knapweedchute::bench
