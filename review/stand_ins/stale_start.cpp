// A machine is added while a configuration of about a megabyte changes every 0.33 s. The store's
// stale reads are 5.5 s old. Checks the rule CONFIG: requests on the newest version's new route
// that are sent over configApplyMs after its acknowledgement and answered 404 by a machine in
// touch.
#include "stand_ins.hpp"

namespace {

using namespace review;

constexpr auto entries = 3;
constexpr auto stale_by = milliseconds{5'500};
constexpr auto storms_length = milliseconds{8'000}; // two storms of 4 s
constexpr auto storm_gap = milliseconds{330};
constexpr auto added_after = milliseconds{6'500};
constexpr auto apply_limit = milliseconds{3'000};   // bounds.configApplyMs
constexpr auto stable_window = milliseconds{4'000}; // bounds.stableWindowMs
constexpr auto length = milliseconds{26'000};
constexpr auto pause = milliseconds{100};

struct world
{
    std::string net;
    record_file record;
    std::mutex mutex;
    int asked = 0;
    int late = 0;
    steady::time_point began = steady::now();
};

auto serve_leaf(world& all, const std::string& id, connection& open) -> void
{
    while (const auto call = open.read(steady::now() + std::chrono::minutes{5})) {
        const auto request = call->field("request-id");
        all.record.line(concat("run ", request, " at ", id));
        open.send(leaf_answer(id, request));
    }
}

/// Sends requests on the new route to one machine, from a moment on.
auto probe(world& all, int entry, steady::time_point judged_from) -> void
{
    for (auto number = 0; steady::now() - all.began < length; ++number) {
        std::this_thread::sleep_for(pause);
        const auto id = concat("e", std::to_string(entry), "-", std::to_string(number));
        const auto open = dial(concat(all.net, ".1", std::to_string(entry)), 8104);
        const auto sent = steady::now();
        if (!open || !open->send(concat("GET /new/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: ",
                                        id, "\r\nDeadline-Ms: 2000\r\n\r\n"))) {
            continue;
        }
        const auto answer = open->read(sent + milliseconds{2'500});
        const auto told = answer ? answer->method_or_status : open->end();
        const auto judged = sent >= judged_from;
        const auto broken = judged && told == "404";
        all.record.line(concat(broken ? "BROKEN: CONFIG: " : "", "front-", std::to_string(entry),
                               " answered ", id, " with ", told, judged ? "" : ", not judged yet"));
        const auto lock = std::lock_guard{all.mutex};
        all.asked += judged ? 1 : 0;
        all.late += broken ? 1 : 0;
    }
}

auto write_versions(world& all, store& platform, bool trouble, const std::string& add_file) -> void
{
    const auto routes = big_routes{};
    auto version = 2;
    auto added = false;
    for (auto next = all.began; next < all.began + storms_length; next += storm_gap) {
        std::this_thread::sleep_until(next);
        if (trouble) {
            version += 1;
            platform.put("op/config", desk_configuration(version, routes.of_version(version)));
        }
        if (!added && steady::now() >= all.began + added_after) {
            added = true;
            all.record.line("front-3 is added, version " + std::to_string(version));
            std::ofstream{add_file} << "now\n";
        }
    }
    auto newest = routes.of_version(version + 1);
    newest.push_back(desk_route("new", "idempotent", 4'000));
    platform.put("op/config", desk_configuration(version + 1, newest));
    all.record.line("version " + std::to_string(version + 1) +
                    " with the new route is acknowledged");
}

} // namespace

auto main(int argc, char** argv) -> int
{
    if (argc != 5) {
        return 2;
    }
    auto all = world{argv[1], record_file{argv[3]}, {}, 0, 0, {}};
    const auto trouble = std::string{argv[2]} != "0";
    auto platform = store{all.net + ".1", 8102, stale_by};
    auto servers = std::vector<std::unique_ptr<server>>{};
    for (auto index = 0; index < entries; ++index) {
        const auto ip = all.net + "." + std::to_string(60 + index);
        const auto id = "leaf-" + std::to_string(index);
        servers.push_back(std::make_unique<server>(
            ip, 8326, [&all, id](connection& open) { serve_leaf(all, id, open); }));
        platform.keep_leaf(id, leaf_entry("desk", ip, 8326, "zone-" + std::to_string(1 + index)));
    }
    platform.put("op/config", desk_configuration(1, big_routes{}.of_version(1)));
    for (auto index = 1; index < entries; ++index) {
        if (!wait_until_ready(all.net + ".1" + std::to_string(index), 8108, milliseconds{20'000})) {
            std::cerr << "an entry daemon is not ready\n";
            return 2;
        }
    }
    std::this_thread::sleep_for(stable_window);
    all.began = steady::now();
    write_versions(all, platform, trouble, argv[4]);
    const auto acknowledged = steady::now();
    if (!wait_until_ready(all.net + ".13", 8108, milliseconds{5'000})) {
        std::cerr << "the added entry daemon is not ready\n";
        return 2;
    }
    const auto judged_from =
        std::max(acknowledged + apply_limit, all.began + added_after + stable_window) +
        milliseconds{500};
    auto threads = std::vector<std::thread>{};
    for (auto entry = 1; entry <= entries; ++entry) {
        threads.emplace_back([&all, entry, judged_from] { probe(all, entry, judged_from); });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    const auto lock = std::lock_guard{all.mutex};
    const auto summary = concat(std::to_string(all.asked), " requests on the new route, ",
                                std::to_string(all.late), " answered 404");
    all.record.line(summary);
    std::cout << summary << std::endl;
    std::_Exit(all.late > 0 ? 1 : 0);
}
