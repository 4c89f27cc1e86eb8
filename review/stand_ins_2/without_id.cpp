// Leafs that send a second copy of an answer late, and consumers some of whose requests have no
// Request-Id. Exits with 1 if a consumer gets the answer to another request.
#include "world.hpp"

using namespace world;

auto main(int argc, char** argv) -> int
{
    if (argc != 4) {
        return 2;
    }
    const auto program = std::string{argv[1]};
    const auto folder = std::string{argv[2]};
    auto log = record{argv[3]};
    auto platform = store{"127.0.0.1"};
    // As `garble` with "extra late" of the site file: 0.6 of the leafs, 0.03 of their answers, for
    // 5 s at a time.
    constexpr auto leaf_count = 5;
    constexpr auto share_of_leafs = 0.6;
    constexpr auto answers_per_copy = 34;
    auto active = std::atomic<bool>{false};
    auto spell = std::atomic<int>{0};
    auto extras = std::atomic<int>{0};
    auto leafs = std::vector<std::unique_ptr<leaf>>{};
    auto pointers = std::vector<leaf*>{};
    for (auto index = 0; index < leaf_count; ++index) {
        leafs.push_back(std::make_unique<leaf>("127.0.0.1", "i-7f3a91c" + std::to_string(index),
                                               "kafi81c", log));
        pointers.push_back(leafs.back().get());
        pointers.back()->make_body = [](const message& request) {
            return "answer to " + request.field("request-id") + " " + request.word(1);
        };
        if (trouble()) {
            pointers.back()->extra_late = [&, index,
                                           answers = std::make_shared<std::atomic<int>>(0)] {
                // Each spell picks its leafs anew.
                const auto picked = (index + leaf_count - spell * 2 % leaf_count) % leaf_count <
                                    static_cast<int>(share_of_leafs * leaf_count);
                // Counted, not drawn: one answer in 34 is 0.029 of them, never more.
                const auto chosen = active && picked && ++*answers % answers_per_copy == 0;
                extras += chosen ? 1 : 0;
                return chosen;
            };
        }
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
    front.start();
    if (!front.wait_ready(15'000)) {
        std::puts("the entry process is not ready");
        front.kill_now();
        leave(2);
    }
    auto sent = std::atomic<int>{0};
    auto without = std::atomic<int>{0};
    auto served = std::atomic<int>{0};
    auto foreign = std::atomic<int>{0};
    auto stop = std::atomic<bool>{false};
    const auto consumer = [&](int who) {
        auto fd = -1;
        auto input = std::optional<reader>{};
        for (auto number = 0; !stop; ++number) {
            if (fd < 0) {
                fd = connect_to(front.ip(), front.front);
                input.emplace(fd);
            }
            const auto has_id = number % 6 != 5;
            const auto id = "c" + std::to_string(who) + "n" + std::to_string(number);
            const auto path = "/timi402/" + id;
            sent += 1;
            without += has_id ? 0 : 1;
            log.line("consumer " + std::to_string(who) + " sends GET " + path +
                     (has_id ? " id=" + id : " without an id"));
            send_all(fd, "GET " + path + " HTTP/1.1\r\nHost: pupu76.example\r\n" +
                             (has_id ? "Request-Id: " + id + "\r\n" : std::string{}) +
                             "Deadline-Ms: 10000\r\n\r\n");
            auto answer = message{};
            if (!input->next(answer, 10'000, true)) {
                log.line("consumer " + std::to_string(who) + " got no answer to " + path);
                close(fd);
                fd = -1;
                continue;
            }
            const auto status = answer.status();
            log.line("consumer " + std::to_string(who) + " got " + answer.first + " to " + path +
                     ": \"" + answer.body + "\"");
            if (status >= 200 && status < 300) {
                served += 1;
                if (answer.body != text_of("answer to ", id, " ", path)) {
                    foreign += 1;
                    log.line(text_of("BROKEN: the answer to ", path,
                                     " belongs to another request: \"", answer.body,
                                     "\", Request-Id ", answer.field("request-id"),
                                     ", Server-Stamp ", answer.field("server-stamp")));
                }
            }
            if (answer.field("connection") == "close") {
                close(fd);
                fd = -1;
            }
            sleep_ms(30);
        }
    };
    auto threads = std::vector<std::thread>{};
    for (auto who = 0; who < 3; ++who) {
        threads.emplace_back(consumer, who);
    }
    for (spell = 0; spell < 6; ++spell) {
        sleep_ms(2'000);
        active = true;
        sleep_ms(5'000);
        active = false;
    }
    stop = true;
    for (auto& one : threads) {
        one.join();
    }
    const auto alive = front.running();
    front.kill_now();
    const auto text = "sent " + std::to_string(sent) + " (" + std::to_string(without) +
                      " without an id), served " + std::to_string(served) + ", second copies " +
                      std::to_string(extras) + ", answers that belong to another request " +
                      std::to_string(foreign);
    log.line(text);
    std::puts(text.c_str());
    leave(!alive || served == 0 ? 2 : foreign > 0 ? 1 : 0);
}
