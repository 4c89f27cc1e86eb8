#include "heavy_day.hpp"

#include <algorithm>
#include <utility>

namespace knapweedchute::bench {
namespace {

constexpr auto shards = 20;
constexpr auto replicas = 2;
constexpr auto instance_count = 3;
constexpr auto queries_per_second = 99.0;
constexpr auto light_share = 0.25;
/// Mean work of the two kinds of queries, and the standard deviation of its logarithm.
constexpr auto heavy_work = std::chrono::duration<double, std::milli>(20.0);
constexpr auto light_work = std::chrono::duration<double, std::milli>(6.7);
constexpr auto work_spread = 0.35;
constexpr auto pause = milliseconds{200};
constexpr auto pause_every = milliseconds{4'500};
constexpr auto one_way = duration{0};
/// No query of the day waits for a connection.
constexpr auto max_connections = std::size_t{1'000};
constexpr auto heavy_worth = 2.0;
constexpr auto light_worth = 1.0;
constexpr auto late_part = 0.1;
/// One replica of so many shards is slow, for this long, from time to time.
constexpr auto slow_shards = 3;
constexpr auto slow_speed = 7.5;
constexpr auto slow_period = seconds{8};
const auto names = header_names{"Id", "Wait", "Only", "Not-Run", "Proof", "Proofs", "Missing"};

auto shard_name(int index) -> std::string
{
    return "s" + std::to_string(index);
}

auto query_route(const std::string& name, milliseconds goal, double least) -> route
{
    auto way = route{};
    way.name = name;
    way.host = "h";
    way.prefix = "/" + name + "/";
    way.idempotent = true;
    way.timeout = milliseconds{name == "light" ? 400 : 800};
    way.latency_goal = goal;
    way.max_targets = 2;
    way.top = 20;
    way.min_coverage = least;
    for (auto index = 0; index < shards; ++index) {
        way.shards.push_back(shard_name(index));
    }
    return way;
}

} // namespace

heavy_day::heavy_day(heavy_policy policy, const relay_policy& steering, std::uint64_t seed)
    : policy_{policy}, random_{seed}, targets_{timers_,
                                               [this](const auto& request) {
                                                   return work_of(request);
                                               },
                                               seed},
      port_{timers_, targets_, one_way, max_connections}, table_{table()}
{
    for (auto index = 0; index < shards; ++index) {
        for (auto replica = 0; replica < replicas; ++replica) {
            const auto id = shard_name(index) + "-" + std::to_string(replica);
            registry_.insert_or_update(
                {id, shard_name(index), {}, replica == 0 ? "a" : "b", "v1", 2, 1, false, {}});
            auto model = emulator::target_model{};
            model.pause = pause;
            model.pause_every = pause_every;
            model.phase = milliseconds{random_() % 4'500};
            targets_.set(id, model);
        }
    }
    for (auto index = 0; index < instance_count; ++index) {
        auto& one = *instances_.emplace_back(std::make_unique<instance>());
        one.extras.set_instance_count(instance_count);
        one.coordinator = std::make_unique<relay_coordinator>(
            steering, names, index % 2 == 0 ? "a" : "b",
            relay_dependencies{registry_, port_, timers_, one.extras, one.cold, one.versions,
                               one.counters, one.memory},
            seed + static_cast<std::uint64_t>(index));
    }
}

auto heavy_day::work_of(const std::string& request) -> duration
{
    auto spread = std::lognormal_distribution<double>{0.0, work_spread};
    const auto mean = request.starts_with('l') ? light_work : heavy_work;
    return std::chrono::duration_cast<duration>(mean * spread(random_));
}

auto heavy_day::table() const -> std::shared_ptr<const route_table>
{
    return std::make_shared<const route_table>(
        1,
        std::vector{query_route("heavy", milliseconds{150}, 0.89),
                    query_route("light", milliseconds{60}, 0.75)},
        std::vector<service_rules>{}, caller_limits{});
}

auto heavy_day::run(duration length) -> void
{
    auto gap = std::exponential_distribution<double>{queries_per_second};
    auto is_light = std::bernoulli_distribution{light_share};
    auto model = emulator::target_model{};
    model.pause = pause;
    model.pause_every = pause_every;
    const auto end = timers_.now() + length;
    auto next_slow = timers_.now();
    while (timers_.now() < end) {
        if (timers_.now() >= next_slow) {
            for (auto index = 0; index < shards; ++index) {
                // Every second period has slow replicas, always others.
                const auto slow = static_cast<int>(random_() % shards) < slow_shards;
                model.phase = milliseconds{random_() % 4'500};
                model.slowdown = slow ? slow_speed : 1.0;
                targets_.set(shard_name(index) + "-0", model);
            }
            next_slow += slow_period;
        }
        ask(is_light(random_));
        timers_.advance(
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap(random_))));
        for (auto& one : instances_) {
            one->coordinator->retry_waiting();
        }
    }
    timers_.advance(seconds{2});
}

auto heavy_day::ask(bool light) -> void
{
    const auto& way = table_->routes().at(light ? 1 : 0);
    const auto id = std::string{light ? "l" : "h"} + std::to_string(next_++);
    owed_ += light ? light_worth : heavy_worth;
    parts_ += way.shards.size();
    if (policy_ == heavy_policy::plain) {
        ask_plainly(way, id);
        return;
    }
    auto& by = *instances_.at(random_() % instances_.size());
    auto request = relayed_request{"GET", way.prefix + "x", "h", {{"Id", id}}, {}, id, {}};
    const auto asked = timers_.now();
    std::ignore = by.coordinator->start(
        table_, std::move(request), [this, &way, asked](const relayed_answer& answer) {
            const auto* missing = find_field(answer.fields, "Missing");
            const auto left_out =
                missing == nullptr ? way.shards.size() : std::stoul(missing->value);
            earn(way, asked, way.shards.size() - left_out);
        });
}

auto heavy_day::ask_plainly(const route& way, const std::string& id) -> void
{
    struct progress
    {
        std::size_t answered = 0;
        std::size_t ended = 0;
        bool done = false;
    };
    auto known = std::make_shared<progress>();
    const auto asked = timers_.now();
    const auto finish = [this, known, &way, asked] {
        if (!std::exchange(known->done, true)) {
            const auto least = way.min_coverage * static_cast<double>(way.shards.size());
            earn(way, asked, static_cast<double>(known->answered) < least ? 0 : known->answered);
        }
    };
    for (const auto& shard : way.shards) {
        const auto& usable = registry_.usable(shard);
        auto order = exchange_order{usable.at(random_() % usable.size()), "", id, true, true};
        port_.send(std::move(order), [known, finish, &way](const exchange_result& result) {
            known->answered += result.status == exchange_status::answered ? 1 : 0;
            known->ended += 1;
            if (known->ended == way.shards.size()) {
                finish();
            }
        });
    }
    timers_.at(asked + way.timeout, finish);
}

auto heavy_day::earn(const route& way, time_point asked, std::size_t answered) -> void
{
    const auto share = static_cast<double>(answered) / static_cast<double>(way.shards.size());
    const auto worth = way.name == "light" ? light_worth : heavy_worth;
    const auto late = timers_.now() - asked > way.latency_goal;
    earned_ += worth * share * share * (late ? late_part : 1.0);
}

auto heavy_day::load() const noexcept -> double
{
    auto sent = std::uint64_t{0};
    for (const auto& one : instances_) {
        sent += one->counters.value(counter::parts_sent);
    }
    return static_cast<double>(sent) / static_cast<double>(parts_);
}

} // namespace knapweedchute::bench
