#include "experiment_config.hpp"

#include "table_reader.hpp"

#include <array>

namespace knapweedchute::emulator {
namespace {

constexpr auto max_size = 1'000.0;
constexpr auto policies =
    std::array{fleet_policy::admission, fleet_policy::no_admission, fleet_policy::plain};

auto whole_ms(duration time) -> milliseconds
{
    return std::chrono::duration_cast<milliseconds>(time);
}

auto read_target(table_reader reader) -> target_model
{
    auto model = target_model{};
    model.slots = reader.count("slots", model.slots, 1, max_size);
    model.queue = reader.count("queue", model.queue, 0, max_size);
    model.pause = reader.time_ms("pause_ms", model.pause);
    model.pause_every = reader.time_ms("pause_every_ms", model.pause_every);
    model.connection_setup = reader.time_ms("connection_setup_ms", model.connection_setup);
    if (model.pause_every <= model.pause) {
        reader.fail("pause_every_ms", "more than pause_ms expected");
    }
    reader.expect_all_read();
    return model;
}

auto read_fleet(table_reader reader) -> fleet_options
{
    auto fleet = fleet_options{};
    fleet.instances = reader.count("instances", fleet.instances, 1, max_size);
    fleet.zones = reader.count("zones", fleet.zones, 1, max_size);
    fleet.shards = reader.count("shards", fleet.shards, 1, max_size);
    fleet.replicas = reader.count("replicas", fleet.replicas, 1, max_size);
    fleet.connections = reader.count("connections", fleet.connections, 1, 1e6);
    fleet.one_way = reader.time_ms("one_way_ms", fleet.one_way);
    fleet.target = read_target(reader.table("target"));
    reader.expect_all_read();
    return fleet;
}

auto read_kind(table_reader reader) -> request_kind
{
    auto kind = request_kind{};
    kind.name = reader.text("name", "");
    if (kind.name.empty()) {
        reader.fail("name", "a name expected");
    }
    kind.share = reader.number("share", kind.share, 0.0);
    kind.work = reader.time_ms("work_ms", std::chrono::duration_cast<duration>(kind.work));
    kind.work_spread = reader.number("work_spread", kind.work_spread, 0.0, 3.0);
    kind.goal = whole_ms(reader.time_ms("goal_ms", kind.goal));
    kind.deadline = whole_ms(reader.time_ms("deadline_ms", kind.deadline));
    kind.min_coverage = reader.number("min_coverage", kind.min_coverage, 0.0, 1.0);
    kind.all_shards = reader.flag("all_shards", kind.all_shards);
    kind.idempotent = reader.flag("idempotent", kind.idempotent);
    kind.priority = static_cast<int>(reader.number("priority", kind.priority, 0.0, 100.0));
    kind.retries = static_cast<int>(reader.number("retries", kind.retries, 0.0, 100.0));
    reader.expect_all_read();
    return kind;
}

auto read_fault(table_reader reader) -> target_fault
{
    auto fault = target_fault{};
    fault.share = reader.number("share", fault.share, 0.0, 1.0);
    fault.slowdown = reader.number("slowdown", fault.slowdown, 0.01, 1e4);
    fault.rejected_share = reader.number("rejected_share", fault.rejected_share, 0.0, 1.0);
    fault.zone_lost = reader.flag("zone_lost", fault.zone_lost);
    reader.expect_all_read();
    return fault;
}

auto read_callers(table_reader reader) -> caller_options
{
    auto callers = caller_options{};
    callers.repeating_share = reader.number("repeating_share", callers.repeating_share, 0.0, 1.0);
    callers.repeats = static_cast<int>(reader.number("repeats", callers.repeats, 0.0, 100.0));
    reader.expect_all_read();
    return callers;
}

auto read_policy(const table_reader& reader, const toml::node& node) -> fleet_policy
{
    const auto name = node.value_or(std::string{});
    for (const auto policy : policies) {
        if (to_string(policy) == name) {
            return policy;
        }
    }
    reader.fail("policies", "admission, no_admission or plain expected instead of " + name);
}

auto tables_of(table_reader& reader, const char* key) -> std::vector<table_reader>
{
    auto found = std::vector<table_reader>{};
    if (const auto* list = reader.list(key)) {
        for (const auto& item : *list) {
            if (!item.is_table()) {
                reader.fail(key, "a list of tables expected");
            }
            found.emplace_back(*item.as_table(),
                               std::string{key} + "[" + std::to_string(found.size()) + "]");
        }
    }
    return found;
}

auto numbers_of(table_reader& reader, const char* key, std::vector<double> fallback, double lowest,
                double highest) -> std::vector<double>
{
    const auto* list = reader.list(key);
    if (list == nullptr) {
        return fallback;
    }
    auto numbers = std::vector<double>{};
    for (const auto& item : *list) {
        const auto value = item.value<double>();
        if (!value || *value < lowest || *value > highest) {
            reader.fail(key, "numbers from " + std::to_string(lowest) + " to " +
                                 std::to_string(highest) + " expected");
        }
        numbers.push_back(*value);
    }
    if (numbers.empty()) {
        reader.fail(key, "at least one number expected");
    }
    return numbers;
}

auto read_document(const toml::table& document) -> experiment_config
{
    auto reader = table_reader{document, ""};
    auto config = experiment_config{};
    config.name = reader.text("name", "experiment");
    config.fleet = read_fleet(reader.table("fleet"));
    config.callers = read_callers(reader.table("callers"));
    for (auto& kind : tables_of(reader, "kinds")) {
        config.kinds.push_back(read_kind(kind));
    }
    if (config.kinds.empty()) {
        reader.fail("kinds", "at least one kind of request expected");
    }
    for (auto& fault : tables_of(reader, "faults")) {
        config.faults.push_back(read_fault(fault));
    }
    const auto* names = reader.list("policies");
    if (names == nullptr) {
        config.policies.assign(policies.begin(), policies.end());
    } else {
        for (const auto& name : *names) {
            config.policies.push_back(read_policy(reader, name));
        }
    }
    config.loads = numbers_of(reader, "loads", {0.5, 0.9, 1.2, 2.0, 4.0}, 0.01, 100.0);
    for (const auto seed : numbers_of(reader, "seeds", {1.0, 2.0, 3.0}, 0.0, 1e9)) {
        config.seeds.push_back(static_cast<std::uint64_t>(seed));
    }
    config.warm_up = reader.time_ms("warm_up_ms", config.warm_up);
    config.measured = reader.time_ms("measured_ms", config.measured);
    reader.expect_all_read();
    return config;
}

} // namespace

auto parse_experiment(const std::string& text, const std::string& source) -> experiment_config
{
    try {
        return read_document(toml::parse(text, source));
    } catch (const toml::parse_error& fault) {
        throw config_error{source + ", line " + std::to_string(fault.source().begin.line) + ": " +
                           std::string{fault.description()}};
    } catch (const config_error& fault) {
        throw config_error{source + ": " + fault.what()};
    }
}

} // namespace knapweedchute::emulator
