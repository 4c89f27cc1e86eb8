#include "target_stand_in.hpp"

#include <knapweedchute/config/object_reader.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace knapweedchute::test {
namespace {

auto refusal_reply(const char* name) -> http_reply
{
    return {503U, nlohmann::json{{"refusal", name}}.dump(), "application/json", false};
}

} // namespace

target_stand_in::target_stand_in(const target_options& options)
    : options_{options}, documents_{sample_documents(options.documents)},
      latency_us_{options.latency.count()}, serving_{options.serving}, random_{options.seed},
      incarnation_{options.seed + 1}, cold_since_{clock::now()}
{
    delay_thread_ = std::thread{[this] { delay_loop(); }};
    server_ = std::make_unique<http_server>(
        options.where, http_server_options{1U, 1'048'576},
        [this](const auto& call, auto respond) { handle(call, respond); },
        [](const auto&) {
            return http_reply{413U, "{}", "application/json", false};
        });
}

target_stand_in::~target_stand_in()
{
    server_.reset();
    {
        const auto lock = std::lock_guard{delay_mutex_};
        stopping_ = true;
    }
    delay_wake_.notify_all();
    delay_thread_.join();
}

auto target_stand_in::set_serving(std::vector<served_shard> serving) -> void
{
    const auto lock = std::lock_guard{mutex_};
    serving_ = std::move(serving);
}

auto target_stand_in::turn_cold() -> void
{
    const auto lock = std::lock_guard{mutex_};
    cold_since_ = clock::now();
}

auto target_stand_in::executions() const -> std::map<std::string, int>
{
    const auto lock = std::lock_guard{mutex_};
    return executions_;
}

auto target_stand_in::handle(const http_call& call, const http_server::responder& respond) -> void
{
    if (call.path == "/v1/status") {
        respond(status());
        return;
    }
    auto reason = error{};
    const auto body = parse_json(call.body, reason);
    if (!body) {
        respond({400U, "{}", "application/json", false});
        return;
    }
    if (call.path == "/v1/parts") {
        serve_part(*body, respond);
        return;
    }
    serve_run(*body, respond);
}

auto target_stand_in::serve_part(const nlohmann::json& body, const http_server::responder& respond)
    -> void
{
    const auto place =
        served_shard{body.at("snapshot").get<std::uint64_t>(),
                     body.at("shards").get<std::uint32_t>(), body.at("shard").get<std::uint32_t>()};
    auto held = false;
    {
        const auto lock = std::lock_guard{mutex_};
        held = std::find(serving_.begin(), serving_.end(), place) != serving_.end();
    }
    if (leaving_ || !held) {
        respond(refusal_reply(leaving_ ? "leaving" : "snapshot_gone"));
        return;
    }
    if (failing_) {
        respond({500U, "{}", "application/json", false});
        return;
    }
    const auto running = in_progress_.fetch_add(1) + 1;
    most_in_progress_ = std::max<std::int64_t>(most_in_progress_, running);
    if (running > bearing()) {
        --in_progress_;
        ++sheds_;
        respond(refusal_reply("shed"));
        return;
    }
    const auto attempt = body.at("attempt").get<std::uint64_t>() + (crossing_ ? 1 : 0);
    auto answer = search(place, body.at("text").get<std::string>(), body.at("top"));
    answer["attempt"] = attempt;
    later(service_time(), [this, respond, text = answer.dump()] {
        --in_progress_;
        ++parts_;
        const auto sent = truncating_ ? text.substr(0, text.size() / 2) : text;
        respond({200U, sent, "application/json", false});
    });
}

auto target_stand_in::serve_run(const nlohmann::json& body, const http_server::responder& respond)
    -> void
{
    if (leaving_) {
        respond(refusal_reply("leaving"));
        return;
    }
    const auto id = body.at("id").get<std::string>();
    {
        const auto lock = std::lock_guard{mutex_};
        executions_[id] += 1;
    }
    later(service_time(), [this, respond] {
        if (losing_run_answers_) {
            respond({500U, "{}", "application/json", true});
            return;
        }
        respond({200U, R"({"stored":true})", "application/json", false});
    });
}

auto target_stand_in::status() -> http_reply
{
    const auto lock = std::lock_guard{mutex_};
    auto serving = nlohmann::json::array();
    for (const auto& place : serving_) {
        serving.push_back(
            {{"snapshot", place.snapshot}, {"shards", place.shards}, {"shard", place.shard}});
    }
    const auto uptime =
        std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - cold_since_);
    return {200U,
            nlohmann::json{{"incarnation", incarnation_},
                           {"uptime_ms", uptime.count()},
                           {"leaving", leaving_.load()},
                           {"parts_served", parts_.load()},
                           {"serving", serving}}
                .dump(),
            "application/json", false};
}

auto target_stand_in::search(const served_shard& place, const std::string& text, std::size_t top)
    -> nlohmann::json
{
    auto found = std::vector<std::pair<int, const document*>>{};
    for (const auto& item : documents_) {
        const auto shard = std::hash<std::string>{}(item.name) % place.shards;
        const auto matched = matched_words(item.text, text);
        if (shard == place.shard && matched > 0) {
            found.emplace_back(matched, &item);
        }
    }
    std::stable_sort(found.begin(), found.end(),
                     [](const auto& left, const auto& right) { return left.first > right.first; });
    auto hits = nlohmann::json::array();
    for (auto index = std::size_t{0}; index < std::min(found.size(), top); ++index) {
        hits.push_back({{"document", found[index].second->name},
                        {"score", found[index].first},
                        {"text", found[index].second->text + " (snapshot " +
                                     std::to_string(place.snapshot) + ")"}});
    }
    return {{"snapshot", place.snapshot},
            {"shards", place.shards},
            {"shard", place.shard},
            {"incarnation", incarnation_},
            {"leaving", leaving_.load()},
            {"hits", hits},
            {"end", true}};
}

auto target_stand_in::bearing() -> std::int64_t
{
    const auto lock = std::lock_guard{mutex_};
    const auto age = std::chrono::duration<double>(clock::now() - cold_since_);
    const auto warm = std::chrono::duration<double>(options_.warmup);
    const auto progress = std::min(1.0, age / warm);
    const auto rise = static_cast<double>(options_.limit - options_.cold_requests) * progress;
    return options_.cold_requests + static_cast<std::int64_t>(rise);
}

auto target_stand_in::service_time() -> std::chrono::microseconds
{
    const auto base = std::chrono::microseconds{latency_us_};
    const auto lock = std::lock_guard{mutex_};
    auto unit = std::uniform_real_distribution<double>{0.0, 1.0};
    return unit(random_) < options_.straggler_share ? base * options_.straggler_factor : base;
}

auto target_stand_in::later(std::chrono::microseconds delay, std::function<void()> work) -> void
{
    if (delay.count() <= 0) {
        work();
        return;
    }
    const auto lock = std::lock_guard{delay_mutex_};
    delays_.push({clock::now() + delay, std::move(work)});
    delay_wake_.notify_one();
}

auto target_stand_in::delay_loop() -> void
{
    auto lock = std::unique_lock{delay_mutex_};
    while (!stopping_) {
        if (delays_.empty()) {
            delay_wake_.wait(lock);
            continue;
        }
        const auto due = delays_.top().when;
        if (clock::now() < due) {
            delay_wake_.wait_until(lock, due);
            continue;
        }
        const auto work = delays_.top().work;
        delays_.pop();
        lock.unlock();
        work();
        lock.lock();
    }
}

} // namespace knapweedchute::test
