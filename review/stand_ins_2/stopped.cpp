// A machine is stopped while consumers on kept connections wait for the answers to two requests
// that they sent in one packet. Exits with 1 if a connection ends without an answer to a whole
// request later than lossSlackMs after its last byte was sent.
#include "world.hpp"

using namespace world;

auto main(int argc, char** argv) -> int
{
    if (argc != 4) {
        return 2;
    }
    constexpr auto loss_slack_ms = 200;
    constexpr auto consumers = 8;
    const auto program = std::string{argv[1]};
    const auto folder = std::string{argv[2]};
    auto log = record{argv[3]};
    auto platform = store{"127.0.0.1"};
    auto leafs = std::vector<std::unique_ptr<leaf>>{};
    auto pointers = std::vector<leaf*>{};
    for (auto index = 0; index < 13; ++index) {
        leafs.push_back(
            std::make_unique<leaf>("127.0.0.1", text_of("i-7f3a91c", index), "kafi81c", log));
        leafs.back()->work_ms = 300;
        pointers.push_back(leafs.back().get());
    }
    start_beats(platform, pointers);
    auto route = route_of("r-s4qmv29", "/timi402/", "idempotent", 10'000, 600);
    route["service"] = "kafi81c";
    platform.put("op/config",
                 config_of(7, json::array({route}),
                           json::array({json{
                               {"name", "kafi81c"}, {"maxConnections", 110}, {"coldPerS", 0.0}}})));
    auto options = entry_options{};
    options.program = program;
    options.folder = folder;
    options.store = platform.text();
    auto front = entry{options};
    auto sent = std::atomic<int>{0};
    auto answered = std::atomic<int>{0};
    auto lost = std::atomic<int>{0};
    const auto consume = [&](int round, int who) {
        const auto fd = connect_to(front.ip(), front.front);
        auto input = reader{fd};
        const auto name = text_of("c", round, "w", who);
        const auto request = [&](const std::string& id) {
            sent += 1;
            log.line(text_of("consumer sends id=", id));
            return text_of("GET /timi402/2f HTTP/1.1\r\nHost: pupu76.example\r\nRequest-Id: ", id,
                           "\r\nDeadline-Ms: 10000\r\n\r\n");
        };
        auto waiting = std::vector<std::string>{name + "-first"};
        auto last_byte = clock_type::now();
        const auto take_answers = [&] {
            auto answer = message{};
            while (!waiting.empty() && input.next(answer, 10'000, true)) {
                answered += 1;
                log.line(text_of("consumer got ", answer.first, " to id=", waiting.front(),
                                 " Connection: ", answer.field("connection")));
                waiting.erase(waiting.begin());
            }
        };
        send_all(fd, request(waiting.front()));
        take_answers();
        waiting = {name + "-second", name + "-third"};
        const auto text = request(waiting[0]) + request(waiting[1]);
        send_all(fd, text);
        last_byte = clock_type::now();
        take_answers();
        const auto elapsed =
            std::chrono::duration_cast<milliseconds>(clock_type::now() - last_byte).count();
        close(fd);
        for (const auto& id : waiting) {
            const auto counts = elapsed > loss_slack_ms;
            lost += counts ? 1 : 0;
            log.line(text_of(counts ? "BROKEN: " : "", "id=", id, ": its connection ended ",
                             elapsed, " ms after its last byte, without an answer"));
        }
    };
    for (auto round = 0; round < 3; ++round) {
        front.start();
        if (!front.wait_ready(15'000)) {
            std::puts("the entry process is not ready");
            front.kill_now();
            leave(2);
        }
        sleep_ms(4'500); // Longer than stableWindowMs, 4,000.
        auto threads = std::vector<std::thread>{};
        for (auto who = 0; who < consumers; ++who) {
            threads.emplace_back(consume, round, who);
        }
        sleep_ms(450); // The second request of each consumer is at a leaf.
        if (trouble()) {
            log.line("platform sends SIGTERM");
            front.signal_to(SIGTERM);
        }
        for (auto& one : threads) {
            one.join();
        }
        const auto end = clock_type::now() + milliseconds{7'000}; // graceS is 6.
        while (trouble() && front.running() && clock_type::now() < end) {
            sleep_ms(50);
        }
        front.kill_now();
    }
    const auto text =
        text_of("sent ", sent.load(), ", answered ", answered.load(),
                ", connections that ended without the answer to a whole request ", lost.load());
    log.line(text);
    std::puts(text.c_str());
    leave(answered == 0 ? 2 : lost > 0 ? 1 : 0);
}
