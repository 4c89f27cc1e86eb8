// Consumers that send their next request on a kept connection before they have the answer to the
// one before it. Exits with 1 if more than three requests are run by a sound leaf and their
// connection is closed without an answer.
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
    auto one = leaf{"127.0.0.1", "i-7f3a91c2", "kafi81c", log};
    auto two = leaf{"127.0.0.1", "i-18b2c40d", "kafi81c", log};
    auto mutex = std::mutex{};
    auto ran = std::set<std::string>{};
    for (auto* each : {&one, &two}) {
        each->work_ms = 160;
        each->on_run = [&](const message& request) {
            const auto guard = std::lock_guard{mutex};
            ran.insert(request.field("request-id"));
        };
    }
    start_beats(platform, {&one, &two});
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
    sleep_ms(4'500); // In touch: the process has run for longer than stableWindowMs, 4,000.
    // maxBodyBytes is 262,144.
    const auto body = std::string(trouble() ? 200'000 : 2'000, 'b');
    auto sent = 0;
    auto answered = 0;
    auto lost = 0;
    for (auto round = 0; round < 20; ++round) {
        const auto fd = connect_to(front.ip(), front.front);
        auto input = reader{fd};
        const auto request = [&](const std::string& id, const std::string& content) {
            sent += 1;
            log.line("consumer sends id=" + id + " with " + std::to_string(content.size()) +
                     " bytes of body");
            return text_of(content.empty() ? "GET" : "POST", " /timi402/2f HTTP/1.1\r\n",
                           "Host: pupu76.example\r\nRequest-Id: ", id,
                           "\r\nDeadline-Ms: 10000\r\nContent-Length: ", content.size(), "\r\n\r\n",
                           content);
        };
        const auto name = "c" + std::to_string(round);
        auto waiting = std::vector<std::string>{};
        const auto take_answers = [&] {
            auto answer = message{};
            while (!waiting.empty() && input.next(answer, 10'000, true)) {
                answered += 1;
                log.line("consumer got " + answer.first + " to id=" + waiting.front());
                waiting.erase(waiting.begin());
            }
        };
        send_all(fd, request(name + "-first", {}));
        waiting.push_back(name + "-first");
        take_answers();
        // Two requests one after the other, without a pause for the first one's answer.
        auto text = request(name + "-second", {});
        text += request(name + "-third", body);
        waiting = {name + "-second", name + "-third"};
        auto sender = std::thread{[fd, text] { send_all(fd, text); }};
        take_answers();
        shutdown(fd, SHUT_RDWR);
        sender.join();
        close(fd);
        sleep_ms(250); // Longer than the work of a leaf.
        const auto guard = std::lock_guard{mutex};
        for (const auto& id : waiting) {
            const auto was_run = ran.contains(id);
            lost += was_run ? 1 : 0;
            log.line((was_run ? "BROKEN: id=" : "id=") + id +
                     (was_run ? " was run by a leaf" : " was not run") +
                     ", and its connection was closed without an answer");
        }
    }
    const auto alive = front.running();
    front.kill_now();
    const auto text = "sent " + std::to_string(sent) + ", answered " + std::to_string(answered) +
                      ", run and closed without an answer " + std::to_string(lost);
    log.line(text);
    std::puts(text.c_str());
    leave(!alive || answered == 0 ? 2 : lost > 3 ? 1 : 0);
}
