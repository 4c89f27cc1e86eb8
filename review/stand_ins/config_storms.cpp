// An operator's configuration of about a megabyte changes every 0.33 s, in storms of 4 s. The
// platform ends a process that exceeds its memory, as DEPLOY.md says. Checks the rule LOST:
// requests of kept connections that were passed on to a sound leaf and whose connection ended
// unanswered.
#include "stand_ins.hpp"

#include <csignal>
#include <set>

namespace {

using namespace review;

constexpr auto entries = 3;
constexpr auto leafs = 6;
constexpr auto consumers_per_entry = 8;
constexpr auto work_time = milliseconds{150};
constexpr auto length = milliseconds{98'000};
constexpr auto storm_length = milliseconds{4'000};
constexpr auto storm_gap = milliseconds{330};
constexpr auto memory_mb = std::int64_t{260}; // limits.memoryMb

struct lost_request
{
    std::string id;
    std::string text;
};

struct world
{
    std::string net;
    record_file record;
    std::mutex mutex;
    std::set<std::string> at_leaf;
    std::vector<lost_request> cut;
    int asked = 0;
    int served = 0;
    std::atomic<bool> ended = false;
};

auto serve_leaf(world& all, const std::string& id, connection& open) -> void
{
    while (const auto call = open.read(steady::now() + std::chrono::minutes{5})) {
        const auto request = call->field("request-id");
        {
            const auto lock = std::lock_guard{all.mutex};
            all.at_leaf.insert(request);
        }
        std::this_thread::sleep_for(work_time);
        open.send(leaf_answer(id, request));
    }
}

auto consume(world& all, int entry, int index) -> void
{
    auto open = std::unique_ptr<connection>{};
    auto kept = 0;
    for (auto number = 0; !all.ended; ++number) {
        const auto id = concat("e", std::to_string(entry), "-c", std::to_string(index), "-",
                               std::to_string(number));
        if (!open) {
            kept = 0;
            open = dial(all.net + ".1" + std::to_string(entry), 8104);
            if (!open) {
                std::this_thread::sleep_for(milliseconds{200});
                continue;
            }
        }
        open->send(concat("GET /read/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: ", id,
                          "\r\nDeadline-Ms: 4000\r\n\r\n"));
        const auto answer = open->read(steady::now() + milliseconds{4'500});
        const auto lock = std::lock_guard{all.mutex};
        all.asked += 1;
        all.served += answer && answer->method_or_status == "200" ? 1 : 0;
        if (!answer && open->end() != "no answer in time" && kept > 0) {
            all.cut.push_back({id, open->end()});
        }
        kept += 1;
        if (!answer || answer->field("connection") == "close") {
            open.reset();
        }
    }
}

/// Resident memory of a process; 0 if it has ended.
auto memory_of(int process) -> std::int64_t
{
    auto file = std::ifstream{"/proc/" + std::to_string(process) + "/statm"};
    auto size = std::int64_t{0};
    auto resident = std::int64_t{0};
    file >> size >> resident;
    return resident * sysconf(_SC_PAGESIZE) / 1'048'576;
}

/// The platform ends processes that exceed their memory.
auto watch_memory(world& all, const std::vector<int>& processes) -> void
{
    auto noted = std::vector<std::int64_t>(processes.size(), 0);
    while (!all.ended) {
        for (auto index = std::size_t{0}; index < processes.size(); ++index) {
            const auto used = memory_of(processes[index]);
            const auto name = "front-" + std::to_string(index + 1);
            if (used >= noted[index] + 20) {
                noted[index] = used;
                all.record.line(concat(name, " uses ", std::to_string(used), " MB"));
            }
            if (used > memory_mb) {
                all.record.line(concat("platform ends ", name, ": ", std::to_string(used),
                                       " MB of ", std::to_string(memory_mb)));
                kill(processes[index], SIGKILL);
            }
        }
        std::this_thread::sleep_for(milliseconds{50});
    }
}

} // namespace

auto main(int argc, char** argv) -> int
{
    if (argc != 4 + entries) {
        return 2;
    }
    const auto trouble = std::string{argv[2]} != "0";
    auto all = world{argv[1], record_file{argv[3]}, {}, {}, {}, 0, 0, false};
    auto processes = std::vector<int>{};
    for (auto index = 0; index < entries; ++index) {
        processes.push_back(std::atoi(argv[4 + index]));
    }
    auto platform = store{all.net + ".1", 8102};
    auto servers = std::vector<std::unique_ptr<server>>{};
    for (auto index = 0; index < leafs; ++index) {
        const auto ip = all.net + "." + std::to_string(60 + index);
        const auto id = "leaf-" + std::to_string(index);
        servers.push_back(std::make_unique<server>(
            ip, 8326, [&all, id](connection& open) { serve_leaf(all, id, open); }));
        platform.keep_leaf(id,
                           leaf_entry("desk", ip, 8326, "zone-" + std::to_string(1 + index % 3)));
    }
    const auto routes = big_routes{};
    auto version = 1;
    platform.put("op/config", desk_configuration(version, routes.of_version(version)));
    all.record.line(concat(
        "configuration of ", std::to_string(routes.count()), " routes, ",
        std::to_string(desk_configuration(version, routes.of_version(version)).dump().size()),
        " bytes"));
    for (auto index = 1; index <= entries; ++index) {
        if (!wait_until_ready(all.net + ".1" + std::to_string(index), 8108, milliseconds{10'000})) {
            std::cerr << "an entry daemon is not ready\n";
            return 2;
        }
    }
    auto threads = std::vector<std::thread>{};
    threads.emplace_back([&] { watch_memory(all, processes); });
    for (auto entry = 1; entry <= entries; ++entry) {
        for (auto index = 0; index < consumers_per_entry; ++index) {
            threads.emplace_back([&all, entry, index] { consume(all, entry, index); });
        }
    }
    const auto began = steady::now();
    while (steady::now() - began < length) {
        const auto storm = steady::now();
        all.record.line("storm from version " + std::to_string(version));
        for (auto next = storm; trouble && next < storm + storm_length; next += storm_gap) {
            std::this_thread::sleep_until(next);
            version += 1;
            platform.put("op/config", desk_configuration(version, routes.of_version(version)));
        }
        std::this_thread::sleep_until(storm + storm_length);
        const auto lock = std::lock_guard{all.mutex};
        if (all.cut.size() > 3) {
            break;
        }
    }
    all.ended = true;
    for (auto& thread : threads) {
        thread.join();
    }
    const auto lock = std::lock_guard{all.mutex};
    auto lost = 0;
    for (const auto& request : all.cut) {
        if (all.at_leaf.contains(request.id)) {
            lost += 1;
            all.record.line(concat("LOST: ", request.id,
                                   " was at a sound leaf, its kept connection ", request.text));
        }
    }
    const auto summary = concat(std::to_string(version), " versions, ", std::to_string(all.asked),
                                " requests, ", std::to_string(all.served), " served, ",
                                std::to_string(lost), " passed on and cut without an answer");
    all.record.line(summary);
    std::cout << summary << std::endl;
    std::_Exit(lost > 3 ? 1 : 0);
}
