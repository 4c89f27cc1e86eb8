#include "emulated_targets.hpp"

#include <algorithm>
#include <utility>

namespace knapweedchute::emulator {
namespace {

constexpr auto status_ok = 200U;
constexpr auto status_rejected = 503U;
constexpr auto record_bytes = std::size_t{16};

} // namespace

emulated_targets::emulated_targets(timer_queue& timers, work_function work, std::uint64_t seed)
    : timers_{&timers}, work_{std::move(work)}, random_{seed}
{
}

auto emulated_targets::set(const std::string& id, const target_model& model) -> void
{
    targets_[id].model = model;
}

auto emulated_targets::model(const std::string& id) const -> const target_model&
{
    return targets_.at(id).model;
}

auto emulated_targets::submit(job_order order, listener done) -> job_id
{
    const auto id = next_++;
    const auto target_id = order.target;
    auto& target = targets_.at(target_id);
    jobs_[id] = {std::move(order), std::move(done), false};
    if (target.model.down) {
        end_soon(id, exchange_status::not_run, true);
        return id;
    }
    const auto full =
        target.busy >= target.model.slots && target.waiting.size() >= target.model.queue;
    auto rejects = std::bernoulli_distribution{target.model.rejected_share};
    if (full || rejects(random_)) {
        end_soon(id, exchange_status::not_run, false);
        return id;
    }
    target.waiting.push_back(id);
    start_waiting(target_id);
    return id;
}

auto emulated_targets::end_soon(job_id id, exchange_status status, bool never_sent) -> void
{
    timers_->at(timers_->now(), [this, id, status, never_sent] {
        if (auto node = jobs_.extract(id); !node.empty()) {
            auto result = exchange_result{};
            result.status = status;
            result.never_sent = never_sent;
            result.answer.status = never_sent ? 0 : status_rejected;
            node.mapped().done(std::move(result));
        }
    });
}

auto emulated_targets::cancel(job_id job) -> void
{
    const auto node = jobs_.extract(job);
    if (node.empty()) {
        return;
    }
    const auto& target_id = node.mapped().order.target;
    auto& target = targets_.at(target_id);
    std::erase(target.waiting, job);
    target.busy -= node.mapped().working ? 1 : 0;
    start_waiting(target_id);
}

auto emulated_targets::start_waiting(const std::string& target_id) -> void
{
    auto& target = targets_.at(target_id);
    while (target.busy < target.model.slots && !target.waiting.empty()) {
        const auto next = target.waiting.front();
        target.waiting.pop_front();
        auto& started = jobs_.at(next);
        started.working = true;
        target.busy += 1;
        started_count_ += 1;
        started_.insert(started.order.request);
        timers_->at(timers_->now() + occupied_time(started, target.model),
                    [this, next] { finish(next); });
    }
}

auto emulated_targets::occupied_time(const job_state& which, const target_model& model) const
    -> duration
{
    const auto work =
        std::chrono::duration_cast<duration>(work_(which.order.request) * model.slowdown) +
        (which.order.new_connection ? model.connection_setup : duration{0});
    if (model.pause == duration{0}) {
        return work;
    }
    const auto since_pause = (timers_->now().time_since_epoch() + model.phase) % model.pause_every;
    if (since_pause < model.pause) {
        return work + model.pause - since_pause;
    }
    return since_pause + work > model.pause_every ? work + model.pause : work;
}

auto emulated_targets::finish(job_id id) -> void
{
    auto node = jobs_.extract(id);
    if (node.empty()) {
        return;
    }
    auto& ended = node.mapped();
    targets_.at(ended.order.target).busy -= 1;
    start_waiting(ended.order.target);
    auto result = exchange_result{};
    result.status = exchange_status::answered;
    result.answer = {status_ok,
                     {{"Proof", ended.order.target + "." + ended.order.request}},
                     std::string(record_bytes, 'r')};
    ended.done(std::move(result));
}

} // namespace knapweedchute::emulator
