// Consumers send two requests at a time on kept connections; one machine gets SIGTERM. Checks the
// rule LOST around planned work: a request that was sent whole and whose connection ended without
// an answer, later than lossSlackMs after its last byte.
#include "stand_ins.hpp"

#include <csignal>

namespace {

using namespace review;

constexpr auto entries = 3;
constexpr auto leafs = 13;
constexpr auto consumers_per_entry = 4;
constexpr auto work_time =
    milliseconds{300}; // of station-read, whose mean is 160 and whose most is 960
constexpr auto stop_after = milliseconds{3'000};
constexpr auto length = milliseconds{11'000}; // graceS and a second after the SIGTERM, and more
constexpr auto loss_slack = milliseconds{200};

struct world
{
    std::string net;
    record_file record;
    std::mutex mutex;
    int asked = 0;
    int answered = 0;
    int lost = 0;
    steady::time_point began = steady::now();
};

auto serve_leaf(world& all, const std::string& id, connection& open) -> void
{
    while (const auto call = open.read(steady::now() + std::chrono::minutes{5})) {
        const auto request = call->field("request-id");
        all.record.line(concat("run ", request, " at ", id));
        std::this_thread::sleep_for(work_time);
        open.send(leaf_answer(id, request));
    }
}

auto request_text(const std::string& id) -> std::string
{
    return concat("GET /read/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: ", id,
                  "\r\nDeadline-Ms: 4000\r\n\r\n");
}

auto consume(world& all, int entry, int index) -> void
{
    auto open = std::unique_ptr<connection>{};
    for (auto number = 0; steady::now() - all.began < length; ++number) {
        const auto id = concat("e", std::to_string(entry), "-c", std::to_string(index), "-",
                               std::to_string(number));
        if (!open) {
            open = dial(all.net + ".1" + std::to_string(entry), 8104);
        }
        if (!open || !open->send(request_text(id + "a") + request_text(id + "b"))) {
            open.reset();
            std::this_thread::sleep_for(milliseconds{100});
            continue;
        }
        const auto sent = steady::now();
        for (const auto* part : {"a", "b"}) {
            const auto answer = open->read(sent + milliseconds{4'500});
            const auto waited =
                std::chrono::duration_cast<milliseconds>(steady::now() - sent).count();
            const auto told = answer ? answer->method_or_status : open->end();
            const auto closing = answer && answer->field("connection") == "close";
            all.record.line(concat("consumer ", id, part, " after ", std::to_string(waited),
                                   " ms: ", told, closing ? ", Connection: close" : ""));
            const auto lock = std::lock_guard{all.mutex};
            all.asked += 1;
            all.answered += answer ? 1 : 0;
            if (!answer && waited > loss_slack.count() && told != "no answer in time") {
                all.lost += 1;
                all.record.line(concat("BROKEN: LOST: ", id, part, " got no answer"));
            }
            if (!answer) {
                open->close();
            }
        }
        // A connection that was closed, or will be, is not used again.
        if (!open->send("") || open->readable(milliseconds{20})) {
            open.reset();
        }
    }
}

} // namespace

auto main(int argc, char** argv) -> int
{
    if (argc != 5) {
        return 2;
    }
    auto all = world{argv[1], record_file{argv[3]}, {}, 0, 0, 0, {}};
    const auto trouble = std::string{argv[2]} != "0";
    auto platform = store{all.net + ".1", 8102};
    auto servers = std::vector<std::unique_ptr<server>>{};
    for (auto index = 0; index < leafs; ++index) {
        const auto ip = all.net + "." + std::to_string(60 + index);
        const auto id = "leaf-" + std::to_string(index);
        servers.push_back(std::make_unique<server>(
            ip, 8326, [&all, id](connection& open) { serve_leaf(all, id, open); }));
        platform.put("servers/" + id,
                     leaf_entry("desk", ip, 8326, "zone-" + std::to_string(1 + index % 3)));
    }
    platform.put("op/config", desk_configuration(1, {desk_route("read", "idempotent", 4'000)}));
    for (auto index = 1; index <= entries; ++index) {
        if (!wait_until_ready(all.net + ".1" + std::to_string(index), 8108, milliseconds{20'000})) {
            std::cerr << "an entry daemon is not ready\n";
            return 2;
        }
    }
    all.began = steady::now();
    auto threads = std::vector<std::thread>{};
    for (auto entry = 1; entry <= entries; ++entry) {
        for (auto index = 0; index < consumers_per_entry; ++index) {
            threads.emplace_back([&all, entry, index] { consume(all, entry, index); });
        }
    }
    std::this_thread::sleep_until(all.began + stop_after);
    if (trouble) {
        all.record.line("SIGTERM to front-1");
        kill(std::atoi(argv[4]), SIGTERM);
    }
    for (auto& thread : threads) {
        thread.join();
    }
    const auto lock = std::lock_guard{all.mutex};
    const auto summary =
        concat(std::to_string(all.asked), " requests, ", std::to_string(all.answered),
               " answered, ", std::to_string(all.lost), " lost");
    all.record.line(summary);
    std::cout << summary << std::endl;
    std::_Exit(all.lost > 0 ? 1 : 0);
}
