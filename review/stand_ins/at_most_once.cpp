// Consumers send requests that must not run twice to a service of six or eight leafs. For some
// seconds some leafs are faulty, by the first argument:
//   grey     one leaf runs a share of its requests and answers them 503, with its proof and without
//            Not-Executed;
//   spoiled  two leafs run every request, and a share of their answers comes without Server-Stamp.
// Checks what the consumers got against the rules REFUSED, TWICE and MIXED.
#include "stand_ins.hpp"

#include <random>
#include <set>

namespace {

using namespace review;

constexpr auto faulty_from = milliseconds{3'000};
constexpr auto length = milliseconds{14'000};
constexpr auto consumers = 18;
constexpr auto pause = milliseconds{15};
constexpr auto work_time = milliseconds{50};

struct disruption
{
    int leafs;
    int faulty_leafs; ///< The first ones.
    double share;     ///< Of their answers.
    milliseconds length;
};

/// One leaf of eight, 0.4 of its requests, 6.5 s.
constexpr auto grey = disruption{8, 1, 0.4, milliseconds{6'500}};
/// Two leafs of six, 0.02 of their answers, 5.5 s.
constexpr auto spoiled = disruption{6, 2, 0.02, milliseconds{5'500}};

struct world
{
    std::string net;
    bool is_grey = true;
    bool trouble = true;
    record_file record;
    std::mutex mutex;
    std::map<std::string, int> runs;
    std::map<std::string, std::string> answers;
    int unproved = 0;
    steady::time_point began = steady::now();

    [[nodiscard]] auto fault() const -> const disruption& { return is_grey ? grey : spoiled; }

    [[nodiscard]] auto is_faulty(int leaf) const -> bool
    {
        const auto since = steady::now() - began;
        return trouble && leaf < fault().faulty_leafs && since >= faulty_from &&
               since < faulty_from + fault().length;
    }
};

auto serve_leaf(world& all, int index, connection& open) -> void
{
    const auto id = "leaf-" + std::to_string(index);
    auto random = std::mt19937{std::random_device{}()};
    while (const auto call = open.read(steady::now() + std::chrono::minutes{5})) {
        const auto request = call->field("request-id");
        if (call->target == "/health") {
            open.send(answer_text(200, "Instance-Id: " + id + "\r\n", ""));
            continue;
        }
        if (call->field("expect-instance") != id) {
            open.send(
                answer_text(421, concat("Not-Executed: 1\r\nRequest-Id: ", request, "\r\n"), ""));
            continue;
        }
        {
            const auto lock = std::lock_guard{all.mutex};
            all.runs[request] += 1;
        }
        std::this_thread::sleep_for(work_time);
        auto chance = std::uniform_real_distribution<double>{0.0, 1.0};
        const auto fails = all.is_faulty(index) && chance(random) < all.fault().share;
        auto answer = leaf_answer(id, request);
        if (fails && all.is_grey) {
            answer.replace(answer.find("200"), 3, "503");
        } else if (fails) {
            const auto stamp = answer.find("Server-Stamp");
            answer.erase(stamp, answer.find("Request-Id") - stamp);
        }
        const auto* fault = all.is_grey ? " as 503" : " without Server-Stamp";
        all.record.line(concat("run ", request, " at ", id, ", answered", fails ? fault : ""));
        open.send(answer);
    }
}

auto consume(world& all, int index) -> void
{
    auto open = std::unique_ptr<connection>{};
    for (auto number = 0; steady::now() - all.began < length; ++number) {
        const auto id = concat("c", std::to_string(index), "-", std::to_string(number));
        if (!open) {
            open = dial(all.net + ".1" + std::to_string(1 + index % 3), 8104);
        }
        const auto body = "book " + id;
        const auto sent =
            open &&
            open->send(concat("POST /book/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: ", id,
                              "\r\nDeadline-Ms: 4000\r\nContent-Length: ",
                              std::to_string(body.size()), "\r\n\r\n", body));
        const auto answer =
            sent ? open->read(steady::now() + milliseconds{4'500}) : std::optional<message>{};
        const auto told = answer ? answer->method_or_status : "no answer";
        const auto stamp = answer ? answer->field("server-stamp") : "";
        all.record.line(concat("consumer ", id, " got ", told,
                               stamp.empty() ? "" : " with Server-Stamp ", stamp));
        if (told == "200" && stamp.empty()) {
            all.record.line(concat("BROKEN: MIXED: ", id, " got a success without Server-Stamp"));
        }
        {
            const auto lock = std::lock_guard{all.mutex};
            all.answers[id] = told;
            all.unproved += told == "200" && stamp.empty() ? 1 : 0;
        }
        if (!answer || answer->field("connection") == "close") {
            open.reset();
        }
        std::this_thread::sleep_for(pause);
    }
}

} // namespace

auto main(int argc, char** argv) -> int
{
    if (argc != 5) {
        return 2;
    }
    auto all = world{argv[2],
                     std::string{argv[1]} == "grey",
                     std::string{argv[3]} != "0",
                     record_file{argv[4]},
                     {},
                     {},
                     {}};
    auto platform = store{all.net + ".1", 8102};
    auto servers = std::vector<std::unique_ptr<server>>{};
    for (auto index = 0; index < all.fault().leafs; ++index) {
        const auto ip = all.net + "." + std::to_string(60 + index);
        servers.push_back(std::make_unique<server>(
            ip, 8326, [&all, index](connection& open) { serve_leaf(all, index, open); }));
        platform.keep_leaf("leaf-" + std::to_string(index),
                           leaf_entry("desk", ip, 8326, "zone-" + std::to_string(1 + index % 3)));
    }
    platform.put("op/config", desk_configuration(1, {desk_route("book", "non_idempotent", 4'000)}));
    for (auto index = 1; index <= 3; ++index) {
        if (!wait_until_ready(all.net + ".1" + std::to_string(index), 8108, milliseconds{20'000})) {
            std::cerr << "an entry daemon is not ready\n";
            return 2;
        }
    }
    all.began = steady::now();
    auto threads = std::vector<std::thread>{};
    for (auto index = 0; index < consumers; ++index) {
        threads.emplace_back([&all, index] { consume(all, index); });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    const auto lock = std::lock_guard{all.mutex};
    const auto promises = std::set<std::string>{"408", "421", "429", "503"};
    auto broken = 0;
    auto served = 0;
    auto twice = 0;
    for (const auto& [id, told] : all.answers) {
        served += told == "200" ? 1 : 0;
        twice += all.runs[id] > 1 ? 1 : 0;
        if (promises.contains(told) && all.runs[id] > 0) {
            broken += 1;
            all.record.line(
                concat("BROKEN: REFUSED: ", id, " was answered ", told, " and has run"));
        }
    }
    const auto summary =
        concat(std::to_string(all.answers.size()), " requests, ", std::to_string(served),
               " served, ", std::to_string(twice), " ran twice, ", std::to_string(broken),
               " told not run that had run, ", std::to_string(all.unproved),
               " successes without Server-Stamp");
    all.record.line(summary);
    std::cout << summary << std::endl;
    if (served * 2 < static_cast<int>(all.answers.size())) {
        std::_Exit(2);
    }
    std::_Exit(broken + twice + all.unproved > 0 ? 1 : 0);
}
