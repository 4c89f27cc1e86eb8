#include "control_fleet.hpp"

#include <knapweedchute/core/log.hpp>

#include <nlohmann/json.hpp>
#include <unistd.h>

#include <algorithm>
#include <ctime>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace knapweedchute::bench {
namespace {

constexpr auto platform_address = address{0x7f000001U, 22'000};
constexpr auto first_ip = 0x7f010001U;
constexpr auto caller_port = std::uint16_t{22'010};
constexpr auto look_interval = milliseconds{5};
constexpr auto join_limit = seconds{120};
constexpr auto apply_limit = seconds{20};
constexpr auto targets_per_service = std::size_t{20};

auto settings_of(std::size_t index, std::size_t zones) -> settings
{
    const auto ip = first_ip + static_cast<std::uint32_t>(index);
    auto values = settings{};
    values.instance = "entry-" + std::to_string(index);
    values.availability_zone = "zone-" + std::to_string(index % zones);
    values.deployment = "bench";
    values.key = "bench-key-0123456789";
    values.operator_key = "bench-key-0123456789";
    values.caller_address = {ip, caller_port};
    values.admin_address = {ip, caller_port + 1};
    values.peer_address = {ip, caller_port + 2};
    values.platform_address = platform_address;
    values.seeds = {{first_ip, caller_port + 2}};
    values.worker_threads = 1;
    values.http_threads = 1;
    values.max_queries = 100;
    values.max_body_bytes = 65'536;
    values.store_readers = 2;
    values.probe_period = milliseconds{500};
    values.store_period = milliseconds{1'000};
    values.address_lifetime = milliseconds{1};
    values.freshness_limit = milliseconds{5'000};
    return values;
}

auto file_text(std::size_t targets) -> std::string
{
    auto services = nlohmann::json::array();
    for (auto first = std::size_t{0}; first < targets; first += targets_per_service) {
        auto list = nlohmann::json::array();
        for (auto index = first; index < std::min(first + targets_per_service, targets); ++index) {
            // Nothing listens there, and no instance is asked to search.
            const auto where = address{0x7f020001U, static_cast<std::uint16_t>(1 + index)};
            list.push_back({{"address", to_string(where)}, {"availability_zone", "zone-0"}});
        }
        services.push_back({{"name", "service-" + std::to_string(first)},
                            {"workspace", "bench"},
                            {"version", "v1"},
                            {"connections_per_replica", 25},
                            {"versions", {{{"name", "v1"}, {"targets", list}}}}});
    }
    return nlohmann::json{{"availability_zones", {{{"name", "zone-0"}}}}, {"services", services}}
        .dump();
}

} // namespace

control_fleet::control_fleet(std::size_t count, std::size_t zones, unsigned loss_permil)
    : platform_{std::make_unique<test::platform_stand_in>(platform_address)}
{
    start_logging(log_level::error);
    for (auto index = std::size_t{0}; index < count; ++index) {
        auto& added = nodes_.emplace_back();
        added.gate = std::make_unique<network_filter>();
        added.gate->set_loss(loss_permil);
        added.instance =
            std::make_unique<query_instance>(settings_of(index, zones), index + 1, *added.gate);
        auto reason = error{};
        if (!added.instance->start(reason)) {
            throw std::runtime_error{to_string(reason)};
        }
    }
}

control_fleet::~control_fleet()
{
    // Ending instances wait for their threads; together that takes no longer than one.
    auto threads = std::vector<std::thread>{};
    for (auto& ending : nodes_) {
        threads.emplace_back([&ending] { ending.instance.reset(); });
    }
    for (auto& thread : threads) {
        thread.join();
    }
}

auto control_fleet::wait_until_joined() const -> bool
{
    const auto end = steady_clock::now() + join_limit;
    const auto joined = [&](const node& item) {
        return item.instance->members().size() >= nodes_.size();
    };
    while (!std::all_of(nodes_.begin(), nodes_.end(), joined)) {
        if (steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds{100});
    }
    return true;
}

auto control_fleet::apply(std::size_t targets) -> double
{
    auto counters = counter_set{};
    auto service = http_key_value_store{platform_address, milliseconds{2'000}, counters};
    auto store = configuration_store{service, 3};
    auto reason = error{};
    const auto change = "change-" + std::to_string(version_ + 1);
    const auto accepted = store.apply(file_text(targets), version_, change, reason);
    if (!accepted) {
        return -1.0;
    }
    version_ = *accepted;
    const auto started = steady_clock::now();
    while (!in_force_everywhere(version_)) {
        if (steady_clock::now() - started > apply_limit) {
            return -1.0;
        }
        std::this_thread::sleep_for(look_interval);
    }
    return std::chrono::duration<double>(steady_clock::now() - started).count();
}

auto control_fleet::kill(std::size_t index) -> void
{
    nodes_[index].instance.reset();
}

auto control_fleet::total(counter which) const -> std::uint64_t
{
    auto sum = std::uint64_t{0};
    for (const auto& item : nodes_) {
        sum += item.instance ? item.instance->counters().value(which) : 0;
    }
    return sum;
}

auto control_fleet::in_force_everywhere(std::uint64_t version) const -> bool
{
    return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& item) {
        return !item.instance || item.instance->configuration_version() >= version;
    });
}

auto process_cpu_seconds() -> double
{
    auto spent = timespec{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &spent);
    return static_cast<double>(spent.tv_sec) + static_cast<double>(spent.tv_nsec) * 1e-9;
}

auto process_resident_bytes() -> double
{
    auto file = std::ifstream{"/proc/self/statm"};
    auto whole = 0.0;
    auto resident = 0.0;
    file >> whole >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

} // namespace knapweedchute::bench
