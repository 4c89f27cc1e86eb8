// The operator raises maxHeaderBytes, and consumers send a header that is long and within the
// limit. Exits with 1 if on two machines the process ends by itself three times or more.
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
    one.quiet = true;
    two.quiet = true;
    start_beats(platform, {&one, &two});
    auto route = route_of("r-s4qmv29", "/timi402/", "idempotent", 10'000, 600);
    route["service"] = "kafi81c";
    const auto config = [&](int version, int header_bytes) {
        auto text = json::parse(config_of(
            version, json::array({route}),
            json::array({json{{"name", "kafi81c"}, {"maxConnections", 110}, {"coldPerS", 0.0}}})));
        text["limits"]["maxHeaderBytes"] = header_bytes;
        log.line("operator writes op/config, version " + std::to_string(version) +
                 ", maxHeaderBytes " + std::to_string(header_bytes));
        platform.put("op/config", text.dump());
    };
    config(7, 16'384);
    auto options = entry_options{};
    options.program = program;
    options.folder = folder;
    options.store = platform.text();
    auto first = entry{options};
    options.name = "front-b-1";
    options.ip = "127.0.0.2";
    options.seeds = "[\"127.0.0.1:" + std::to_string(first.control) + "\"]";
    auto second = entry{options, &first};
    auto fronts = std::vector<entry*>{&first, &second};
    for (auto* front : fronts) {
        front->start();
    }
    for (auto* front : fronts) {
        if (!front->wait_ready(15'000)) {
            std::puts("an entry process is not ready");
            first.kill_now();
            second.kill_now();
            leave(2);
        }
    }
    auto limit = 16'384;
    if (trouble()) {
        limit = 131'072;
        config(12, limit);
        sleep_ms(4'000); // Longer than configApplyMs.
    }
    // Name, value and line end stay below the limit, with room for the other headers.
    const auto value = std::string(limit == 16'384 ? 15'000 : 66'000, 'c');
    auto ends = std::map<entry*, int>{};
    auto sent = 0;
    auto served = 0;
    for (auto round = 0; round < 8; ++round) {
        for (auto* front : fronts) {
            for (auto number = 0; number < 4; ++number) {
                const auto long_one = number == 2;
                const auto id =
                    "c" + std::to_string(round) + "n" + std::to_string(number) + "@" + front->ip();
                const auto text =
                    "GET /timi402/2f HTTP/1.1\r\nHost: pupu76.example\r\nRequest-Id: " + id +
                    "\r\nDeadline-Ms: 10000\r\n" +
                    (long_one ? "X-Context: " + value + "\r\n" : std::string{}) + "\r\n";
                log.line("consumer sends id=" + id + ", head of " + std::to_string(text.size()) +
                         " bytes, maxHeaderBytes is " + std::to_string(limit));
                sent += 1;
                const auto fd = connect_to(front->ip(), front->front);
                auto answer = message{};
                auto input = reader{fd};
                if (fd >= 0 && send_all(fd, text) && input.next(answer, 3'000, true)) {
                    served += answer.status() == 200 ? 1 : 0;
                    log.line("consumer got " + answer.first + " to id=" + id);
                } else {
                    log.line("consumer got no answer to id=" + id);
                }
                if (fd >= 0) {
                    close(fd);
                }
            }
        }
        sleep_ms(1'000); // The platform starts a process again after a short delay.
        for (auto* front : fronts) {
            if (!front->running()) {
                ends[front] += 1;
                const auto how = WIFSIGNALED(front->status())
                                     ? "signal " + std::to_string(WTERMSIG(front->status()))
                                     : "code " + std::to_string(WEXITSTATUS(front->status()));
                log.line("BROKEN: the process at " + front->ip() + " ended by itself, " + how);
                front->start();
                if (!front->wait_ready(10'000)) {
                    log.line("the process at " + front->ip() + " is not ready again");
                }
            }
        }
    }
    first.kill_now();
    second.kill_now();
    const auto text = "sent " + std::to_string(sent) + ", served " + std::to_string(served) +
                      ", ends by themselves " + std::to_string(ends[&first]) + " and " +
                      std::to_string(ends[&second]);
    log.line(text);
    std::puts(text.c_str());
    leave(served == 0 ? 2 : ends[&first] >= 3 && ends[&second] >= 3 ? 1 : 0);
}
