#include "emulated_fleet.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace knapweedchute::emulator {
namespace {

constexpr auto status_ok = 200U;
constexpr auto status_unavailable = 503U;
constexpr auto status_gateway_timeout = 504U;
constexpr auto records_per_answer = std::size_t{20};
constexpr auto max_targets = std::size_t{2};
constexpr auto maintenance_interval = milliseconds{250};
constexpr auto plain_retry_after = milliseconds{250};
const auto names = header_names{"Id", "Wait", "Only", "Not-Run", "Proof", "Proofs", "Missing"};

auto shard_name(std::size_t index) -> std::string
{
    return "s" + std::to_string(index);
}

auto target_id(std::size_t shard, std::size_t replica) -> std::string
{
    return shard_name(shard) + "-" + std::to_string(replica);
}

auto zone_name(std::size_t index) -> std::string
{
    return "z" + std::to_string(index);
}

auto share_of_connections(const fleet_options& options) -> std::size_t
{
    return std::max<std::size_t>(options.connections / options.instances, 1);
}

auto retry_after_of(const relayed_answer& answer) -> duration
{
    const auto* field = find_field(answer.fields, "Retry-After");
    return field == nullptr ? duration{0}
                            : std::chrono::duration_cast<duration>(
                                  std::chrono::duration<double>(std::stod(field->value)));
}

} // namespace

auto to_string(fleet_policy policy) noexcept -> std::string_view
{
    switch (policy) {
    case fleet_policy::admission:
        return "admission";
    case fleet_policy::no_admission:
        return "no_admission";
    case fleet_policy::plain:
        break;
    }
    return "plain";
}

emulated_fleet::instance::instance(const fleet_options& options, const std::string& zone,
                                   emulated_fleet& owner, std::uint64_t seed)
    : port{*owner.timers_, owner.targets_, options.one_way, share_of_connections(options)},
      coordinator{[&] {
                      auto policy = relay_policy{};
                      policy.limit_concurrency = options.policy == fleet_policy::admission;
                      return policy;
                  }(),
                  names,
                  zone,
                  {owner.registry_, port, *owner.timers_, extras, cold, versions, counters, memory},
                  seed}
{
    extras.set_instance_count(options.instances);
    coordinator.set_instance_count(options.instances);
}

emulated_fleet::emulated_fleet(const fleet_options& options, const std::vector<request_kind>& kinds,
                               test::manual_timer_queue& timers, std::uint64_t seed)
    : options_{options}, kinds_{&kinds}, timers_{&timers}, random_{seed},
      targets_{timers, [this](const auto& request) { return work_of(request); }, seed},
      table_{make_table()}
{
    add_targets();
    for (auto index = std::size_t{0}; index < options_.instances; ++index) {
        instances_.push_back(std::make_unique<instance>(options_, zone_name(index % options_.zones),
                                                        *this, seed + index));
    }
}

auto emulated_fleet::add_targets() -> void
{
    for (auto shard = std::size_t{0}; shard < options_.shards; ++shard) {
        for (auto replica = std::size_t{0}; replica < options_.replicas; ++replica) {
            registry_.insert_or_update({target_id(shard, replica),
                                        shard_name(shard),
                                        {},
                                        zone_name(replica % options_.zones),
                                        "v1",
                                        static_cast<std::int64_t>(options_.target.slots),
                                        1,
                                        false,
                                        {}});
            auto model = options_.target;
            model.phase = duration{static_cast<duration::rep>(
                random_() % static_cast<std::uint64_t>(model.pause_every.count()))};
            targets_.set(target_id(shard, replica), model);
        }
    }
}

auto emulated_fleet::make_table() const -> std::shared_ptr<const route_table>
{
    auto routes = std::vector<route>{};
    for (const auto& kind : *kinds_) {
        auto& added = routes.emplace_back();
        added.name = kind.name;
        added.host = "h";
        added.prefix = "/" + kind.name + "/";
        added.idempotent = kind.idempotent;
        added.timeout = kind.deadline;
        added.latency_goal = kind.goal;
        added.max_targets = max_targets;
        added.priority = kind.priority;
        if (!kind.all_shards) {
            added.split = {{shard_name(0), 1.0}};
            continue;
        }
        added.top = records_per_answer;
        added.min_coverage = kind.min_coverage;
        for (auto shard = std::size_t{0}; shard < options_.shards; ++shard) {
            added.shards.push_back(shard_name(shard));
        }
    }
    return std::make_shared<const route_table>(1, std::move(routes), std::vector<service_rules>{},
                                               caller_limits{});
}

auto emulated_fleet::work_of(const std::string& request) -> duration
{
    const auto& kind = kinds_->at(std::stoul(request));
    auto spread = std::lognormal_distribution<double>{-kind.work_spread * kind.work_spread / 2.0,
                                                      kind.work_spread};
    return std::chrono::duration_cast<duration>(kind.work * spread(random_));
}

auto emulated_fleet::submit(const attempt& sent, responder respond) -> void
{
    if (options_.policy == fleet_policy::plain) {
        submit_plainly(sent, std::move(respond));
        return;
    }
    const auto& kind = kinds_->at(sent.kind);
    const auto parts = kind.all_shards ? options_.shards : 1;
    auto& chosen = *instances_.at(random_() % instances_.size());
    auto request = relayed_request{"GET",   "/" + kind.name + "/x", "h", {{"Id", sent.id}}, {},
                                   sent.id, sent.time_left};
    static_cast<void>(chosen.coordinator.start(
        table_, std::move(request),
        [parts, respond = std::move(respond)](const relayed_answer& answer) {
            const auto* missing = find_field(answer.fields, "Missing");
            const auto absent = missing == nullptr ? 0.0 : std::stod(missing->value);
            const auto coverage = 1.0 - absent / static_cast<double>(parts);
            respond({answer.status, coverage, retry_after_of(answer)});
        }));
}

auto emulated_fleet::submit_plainly(const attempt& sent, responder respond) -> void
{
    struct progress
    {
        std::size_t answered = 0;
        std::size_t not_run = 0;
        std::size_t ended = 0;
        bool done = false;
    };
    const auto& kind = kinds_->at(sent.kind);
    const auto parts = kind.all_shards ? options_.shards : 1;
    const auto state = std::make_shared<progress>();
    const auto finish = [state, parts, &kind, respond = std::move(respond)] {
        if (std::exchange(state->done, true)) {
            return;
        }
        const auto coverage = static_cast<double>(state->answered) / static_cast<double>(parts);
        const auto enough = coverage >= (kind.all_shards ? kind.min_coverage : 1.0);
        const auto none_ran = state->not_run == parts;
        respond({enough     ? status_ok
                 : none_ran ? status_unavailable
                            : status_gateway_timeout,
                 coverage, none_ran ? duration{plain_retry_after} : duration{0}});
    };
    auto& port = instances_.at(random_() % instances_.size())->port;
    for (auto shard = std::size_t{0}; shard < parts; ++shard) {
        const auto& usable = registry_.usable(shard_name(shard));
        auto order = exchange_order{usable.at(random_() % usable.size()), "", sent.id, true, true};
        port.send(std::move(order), [state, parts, finish](const exchange_result& result) {
            state->answered += result.status == exchange_status::answered ? 1 : 0;
            state->not_run += result.status == exchange_status::not_run ? 1 : 0;
            state->ended += 1;
            if (state->ended == parts) {
                finish();
            }
        });
    }
    timers_->at(timers_->now() + sent.time_left, finish);
}

auto emulated_fleet::advance(duration time) -> void
{
    const auto end = timers_->now() + time;
    while (timers_->now() < end) {
        if (timers_->now() >= next_maintenance_) {
            next_maintenance_ = timers_->now() + maintenance_interval;
            for (auto& one : instances_) {
                one->coordinator.retry_waiting();
            }
        }
        timers_->advance(std::min(end, next_maintenance_) - timers_->now());
    }
}

auto emulated_fleet::change(
    const std::function<bool(std::size_t, std::size_t, std::size_t)>& accepts,
    const std::function<void(target_model&)>& apply) -> void
{
    for (auto shard = std::size_t{0}; shard < options_.shards; ++shard) {
        for (auto replica = std::size_t{0}; replica < options_.replicas; ++replica) {
            if (accepts(shard, replica, replica % options_.zones)) {
                auto model = targets_.model(target_id(shard, replica));
                apply(model);
                targets_.set(target_id(shard, replica), model);
            }
        }
    }
}

auto emulated_fleet::capacity() const -> double
{
    auto total_share = 0.0;
    auto work = std::chrono::duration<double>{0.0};
    for (const auto& kind : *kinds_) {
        total_share += kind.share;
        work += kind.work * kind.share;
    }
    const auto slots = static_cast<double>(options_.replicas * options_.target.slots);
    return slots / (work.count() / total_share);
}

auto emulated_fleet::count(counter which) const -> std::uint64_t
{
    auto total = std::uint64_t{0};
    for (const auto& one : instances_) {
        total += one->counters.value(which);
    }
    return total;
}

} // namespace knapweedchute::emulator
