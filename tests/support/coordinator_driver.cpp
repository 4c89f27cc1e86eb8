#include "coordinator_driver.hpp"

#include <algorithm>
#include <utility>

namespace knapweedchute::test {
namespace {

constexpr auto near_way = microseconds{100};
constexpr auto far_way = microseconds{500};
constexpr auto sweep = milliseconds{2};
constexpr auto first_moment = seconds{1'000};
const auto zone_names = std::vector<std::string>{"a", "b", "c"};

} // namespace

auto fake_target::bearing(time_point now) const -> std::int64_t
{
    const auto age = std::chrono::duration<double>(now - cold_since);
    const auto progress = std::min(1.0, age / std::chrono::duration<double>(warmup));
    return cold_requests +
           static_cast<std::int64_t>(static_cast<double>(limit - cold_requests) * progress);
}

coordinator_driver::coordinator_driver(std::uint64_t seed) : random_{seed}, now_{first_moment} {}

auto coordinator_driver::add_target(fake_target target) -> fake_target&
{
    const auto where = target.spec.where;
    return targets_[where] = std::move(target);
}

auto coordinator_driver::add_instance(const std::string& name, const std::string& zone,
                                      request_policy policy, bool random_choice)
    -> query_coordinator&
{
    auto& added = instances_.emplace_back();
    added.name = name;
    added.zone = zone;
    added.policy = policy;
    if (random_choice) {
        added.chooser = std::make_unique<random_selector>();
    } else {
        added.chooser = std::make_unique<least_cost_selector>(zone, policy.zone_penalty);
    }
    added.coordinator =
        std::make_unique<query_coordinator>(policy, *added.chooser, counters_, random_());
    return *added.coordinator;
}

auto coordinator_driver::configure(const service_spec& service,
                                   const std::set<std::string>& zones_out) -> void
{
    auto names = std::vector<std::string>{};
    for (const auto& instance : instances_) {
        names.push_back(instance.name);
    }
    for (auto index = std::size_t{0}; index < instances_.size(); ++index) {
        const auto view =
            service_view{service, zones_out, instances_[index].name,
                         std::set<std::string>{names.begin(), names.end()}, ownership{names}};
        execute(index, instances_[index].coordinator->configure(view, now_));
    }
}

auto coordinator_driver::report_all() -> void
{
    for (auto& [where, target] : targets_) {
        if (target.down || target.silent) {
            continue;
        }
        target.report.uptime = std::chrono::duration_cast<milliseconds>(now_ - target.cold_since);
        for (auto& instance : instances_) {
            instance.coordinator->on_report(where, target.report, now_);
        }
    }
}

auto coordinator_driver::search(std::size_t instance, milliseconds deadline, double worth)
    -> query_key
{
    const auto query = next_query_++;
    auto request =
        search_request{"q" + std::to_string(query), "s", "text", 10, worth, now_ + deadline};
    auto& asked = instances_[instance];
    asked.open[query] = {query, instance, now_, {}, request.deadline, worth, asked.policy, {}};
    execute(instance, asked.coordinator->start_search(query, std::move(request), now_));
    return query;
}

auto coordinator_driver::run_request_at(std::size_t instance, const std::string& id,
                                        milliseconds deadline) -> query_key
{
    const auto query = next_query_++;
    auto& asked = instances_[instance];
    asked.open[query] = {query, instance, now_, {}, now_ + deadline, 1.0, asked.policy, {}};
    execute(instance,
            asked.coordinator->start_run(query, {id, "s", "key", "{}", now_ + deadline}, now_));
    return query;
}

auto coordinator_driver::after(duration delay, std::function<void()> work) -> void
{
    events_.push({now_ + delay, next_order_++, std::move(work)});
}

auto coordinator_driver::advance(duration time) -> void
{
    const auto end = now_ + time;
    while (!events_.empty() && events_.top().when <= end) {
        const auto due = events_.top();
        events_.pop();
        now_ = due.when;
        due.work();
    }
    now_ = end;
}

auto coordinator_driver::execute(std::size_t instance, const action_list& actions) -> void
{
    for (const auto& wanted : actions) {
        std::visit([&](const auto& specific) { carry(instance, specific); }, wanted);
    }
    schedule_tick(instance);
}

auto coordinator_driver::carry(std::size_t instance, const send_part& part) -> void
{
    auto& target = targets_.at(part.target);
    const auto delay = way(instances_[instance], target);
    target.received += 1;
    if (target.down) {
        fail_later(instance, part.attempt, attempt_failure::not_connected, delay * 2);
        return;
    }
    if (target.silent) {
        fail_later(instance, part.attempt,
                   part.new_connection ? attempt_failure::timed_out : attempt_failure::silent,
                   part.deadline - now_);
        return;
    }
    after(delay, [this, instance, part, &target, delay] {
        if (target.in_progress >= target.bearing(now_)) {
            target.over_bearing += 1;
            fail_later(instance, part.attempt, attempt_failure::shed, delay);
            return;
        }
        target.in_progress += 1;
        instances_[instance].running[part.attempt] = &target;
        after(service_time(target), [this, instance, part, &target, delay] {
            if (instances_[instance].running.erase(part.attempt) == 0) {
                return;
            }
            target.in_progress -= 1;
            target.served += 1;
            const auto& held = target.report.serving;
            const auto holds = std::find(held.begin(), held.end(), part.source) != held.end();
            if (!holds) {
                fail_later(instance, part.attempt, attempt_failure::snapshot_gone, delay);
                return;
            }
            auto answer = part_answer{
                part.source, part.attempt, target.report.incarnation, target.report.leaving, {}};
            const auto shard = static_cast<double>(part.source.shard);
            answer.hits.push_back({"s" + std::to_string(part.source.snapshot) + "d" +
                                       std::to_string(part.source.shard),
                                   shard,
                                   {}});
            if (distort) {
                distort(answer);
            }
            after(delay, [this, instance, attempt = part.attempt, answer] {
                execute(instance,
                        instances_[instance].coordinator->complete_part(attempt, answer, now_));
            });
        });
    });
}

auto coordinator_driver::carry(std::size_t instance, const send_run& run) -> void
{
    auto& target = targets_.at(run.target);
    const auto delay = way(instances_[instance], target);
    if (target.down) {
        fail_later(instance, run.attempt, attempt_failure::not_connected, delay * 2);
        return;
    }
    target.executions[run.id] += 1;
    if (target.silent) {
        fail_later(instance, run.attempt, attempt_failure::timed_out, run.deadline - now_);
        return;
    }
    if (target.loses_run_answers) {
        fail_later(instance, run.attempt, attempt_failure::failed, delay * 2);
        return;
    }
    after(delay * 2 + service_time(target), [this, instance, attempt = run.attempt] {
        execute(instance, instances_[instance].coordinator->complete_run(attempt, "{}", now_));
    });
}

auto coordinator_driver::carry(std::size_t instance, const forward_parts& parts) -> void
{
    const auto found = std::find_if(instances_.begin(), instances_.end(), [&](const auto& other) {
        return other.name == parts.instance;
    });
    const auto peer = static_cast<std::size_t>(found - instances_.begin());
    after(far_way, [this, instance, peer, parts] {
        const auto query = next_query_++;
        auto request =
            forwarded_request{parts.service, parts.version, parts.snapshot, parts.total_shards,
                              parts.shards,  parts.text,    parts.top,      parts.deadline};
        instances_[peer].open[query] = {query, peer, now_, {}, parts.deadline, -1.0, {}, {}};
        const auto relay = [this, instance, attempt = parts.attempt](const auto& result) {
            after(far_way, [this, instance, attempt, result] {
                auto& asker = *instances_[instance].coordinator;
                const auto* answer = std::get_if<query_answer>(&result);
                execute(instance,
                        answer ? asker.complete_forwarded(attempt, *answer, now_)
                               : asker.fail_attempt(attempt, attempt_failure::peer_failed, now_));
            });
        };
        relays_[query] = relay;
        execute(peer, instances_[peer].coordinator->start_forwarded(query, request, now_));
    });
}

auto coordinator_driver::carry(std::size_t instance, const cancel_attempt& cancelled) -> void
{
    if (!targets_cancel) {
        return;
    }
    auto& running = instances_[instance].running;
    const auto found = running.find(cancelled.attempt);
    if (found == running.end()) {
        return;
    }
    const auto delay = way(instances_[instance], *found->second);
    after(delay, [this, instance, attempt = cancelled.attempt, target = found->second] {
        if (instances_[instance].running.erase(attempt) > 0) {
            target->in_progress -= 1;
        }
    });
}

auto coordinator_driver::carry(std::size_t instance, const answer_query& answer) -> void
{
    finish(instance, answer.query, answer.answer);
}

auto coordinator_driver::carry(std::size_t instance, const answer_run& answer) -> void
{
    finish(instance, answer.query, answer.body);
}

auto coordinator_driver::carry(std::size_t instance, const refuse_query& refused) -> void
{
    finish(instance, refused.query, refused.details);
}

auto coordinator_driver::finish(std::size_t instance, query_key query,
                                std::variant<query_answer, std::string, refusal> result) -> void
{
    auto& open = instances_[instance].open;
    const auto found = open.find(query);
    if (found == open.end()) {
        return;
    }
    auto ended = std::move(found->second);
    open.erase(found);
    ended.ended = now_;
    ended.result = std::move(result);
    if (const auto relay = relays_.find(query); relay != relays_.end()) {
        relay->second(ended.result);
        relays_.erase(relay);
        return;
    }
    results_.push_back(std::move(ended));
}

auto coordinator_driver::fail_later(std::size_t instance, attempt_key attempt,
                                    attempt_failure failure, duration delay) -> void
{
    after(delay, [this, instance, attempt, failure] {
        execute(instance, instances_[instance].coordinator->fail_attempt(attempt, failure, now_));
    });
}

auto coordinator_driver::schedule_tick(std::size_t instance) -> void
{
    auto& driven = instances_[instance];
    auto due = driven.coordinator->next_tick();
    if (driven.coordinator->waiting_parts() > 0) {
        due = due ? std::min(*due, now_ + sweep) : now_ + sweep;
    }
    const auto pending = driven.next_tick > now_ && due && driven.next_tick <= *due;
    if (!due || pending) {
        return;
    }
    driven.next_tick = std::max(*due, now_);
    after(driven.next_tick - now_, [this, instance, when = driven.next_tick] {
        if (instances_[instance].next_tick == when) {
            instances_[instance].next_tick = {};
            execute(instance, instances_[instance].coordinator->tick(now_));
        }
    });
}

auto coordinator_driver::way(const driven_instance& from, const fake_target& to) const -> duration
{
    return from.zone == to.spec.availability_zone ? near_way : far_way;
}

auto coordinator_driver::service_time(const fake_target& target) -> duration
{
    auto unit = std::uniform_real_distribution<double>{0.0, 1.0};
    auto spread = std::uniform_real_distribution<double>{0.7, 1.3};
    const auto slow = unit(random_) < target.straggler_share;
    const auto factor =
        spread(random_) * (slow ? static_cast<double>(target.straggler_factor) : 1.0);
    return std::chrono::duration_cast<duration>(target.latency * factor);
}

auto add_service(coordinator_driver& driver, std::uint32_t shards, std::uint32_t replicas,
                 const fake_target& model) -> service_spec
{
    auto service = service_spec{};
    service.name = "s";
    service.version = "v1";
    service.connections_per_replica = model.limit;
    service.cold_requests = model.cold_requests;
    service.warmup = std::chrono::duration_cast<milliseconds>(model.warmup);
    service.versions.push_back({"v1", {}});
    for (auto shard = std::uint32_t{0}; shard < shards; ++shard) {
        for (auto replica = std::uint32_t{0}; replica < replicas; ++replica) {
            auto target = model;
            const auto port = static_cast<std::uint16_t>(shard * replicas + replica + 1);
            target.spec = {{0x7f000001U, port}, zone_names[(shard + replica) % zone_names.size()]};
            target.report = {1, milliseconds{0}, false, {{1, shards, shard}}};
            service.versions.front().targets.push_back(target.spec);
            driver.add_target(target);
        }
    }
    return service;
}

} // namespace knapweedchute::test
