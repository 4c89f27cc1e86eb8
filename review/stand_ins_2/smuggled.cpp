// Requests whose Transfer-Encoding doesn't end in "chunked": what follows their head is the body of
// the request and no request of its own. Exits with 1 if a leaf runs what was in a body.
#include "world.hpp"

using namespace world;

namespace {

auto chunked(const std::string& body) -> std::string
{
    auto stream = std::ostringstream{};
    stream << std::hex << body.size() << "\r\n" << body << "\r\n0\r\n\r\n";
    return stream.str();
}

} // namespace

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
    auto sent = std::map<std::string, std::string>{}; // Id and body of what consumers sent.
    auto foreign = 0;
    auto changed = 0;
    const auto on_run = [&](const message& request) {
        const auto guard = std::lock_guard{mutex};
        const auto id = request.field("request-id");
        const auto known = sent.find(id);
        if (known == sent.end()) {
            foreign += 1;
            log.line("BROKEN: id=" + id + " was run, and no consumer sent it as a request");
        } else if (known->second != request.body) {
            changed += 1;
            log.line("BROKEN: id=" + id + " was run with " + std::to_string(request.body.size()) +
                     " bytes of body, sent with " + std::to_string(known->second.size()));
        }
    };
    one.on_run = on_run;
    two.on_run = on_run;
    start_beats(platform, {&one, &two});
    auto route = route_of("r-s4qmv29", "/timi402/", "non_idempotent", 10'000, 600);
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
    const auto codings = trouble()
                             ? std::vector<std::string>{"identity", "gzip", "chunked, identity"}
                             : std::vector<std::string>{"chunked"};
    auto number = 0;
    auto answered = 0;
    for (auto round = 0; round < 10; ++round) {
        for (const auto& coding : codings) {
            number += 1;
            const auto id = "9c41d07b" + std::to_string(1'000 + number);
            const auto inside = "0bad0bad" + std::to_string(1'000 + number);
            const auto body = "POST /timi402/inside HTTP/1.1\r\nHost: pupu76.example\r\n"
                              "Request-Id: " +
                              inside + "\r\nDeadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n";
            {
                const auto guard = std::lock_guard{mutex};
                sent.emplace(id, body);
            }
            const auto fd = connect_to(front.ip(), front.front);
            log.line(text_of("consumer sends id=", id, " with Transfer-Encoding: ", coding, ", ",
                             body.size(), " bytes of body, which hold the text of a request with ",
                             "id=", inside));
            send_all(fd, text_of("POST /timi402/post HTTP/1.1\r\nHost: pupu76.example\r\n",
                                 "Request-Id: ", id, "\r\nDeadline-Ms: 4000\r\n",
                                 "Transfer-Encoding: ", coding, "\r\n\r\n",
                                 coding == "chunked" ? chunked(body) : body));
            auto input = reader{fd};
            auto answer = message{};
            while (input.next(answer, 300)) {
                answered += 1;
                log.line(text_of("consumer got ", answer.first, " id=", answer.field("request-id"),
                                 " after id=", id));
            }
            close(fd);
        }
    }
    const auto alive = front.running();
    front.kill_now();
    const auto guard = std::lock_guard{mutex};
    const auto text = "sent " + std::to_string(number) + ", answers " + std::to_string(answered) +
                      ", runs of requests that nobody sent " + std::to_string(foreign) +
                      ", runs with another body " + std::to_string(changed);
    log.line(text);
    std::puts(text.c_str());
    leave(!alive || number == 0 ? 2 : foreign + changed > 0 ? 1 : 0);
}
