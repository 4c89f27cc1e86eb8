// Stand-ins of the review's scripts: a platform's store, leafs and consumers, on loopback
// addresses.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// \brief Joins texts.
template <typename... Texts>
auto concat(const Texts&... texts) -> std::string
{
    auto result = std::string{};
    (result.append(texts), ...);
    return result;
}

/// \brief Writes what was sent, answered and run, with the time since the start.
class record_file
{
public:
    explicit record_file(const std::string& path) : file_{path} {}

    auto line(const std::string& text) -> void
    {
        const auto lock = std::lock_guard{mutex_};
        const auto since = std::chrono::duration<double>(steady::now() - began_).count();
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f ", since);
        file_ << time << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
    steady::time_point began_ = steady::now();
};

struct message
{
    std::string method_or_status; ///< Method of a request, status of an answer.
    std::string target;
    std::map<std::string, std::string> fields; ///< Names in lower case.
    std::string body;

    [[nodiscard]] auto field(const std::string& name) const -> std::string
    {
        const auto found = fields.find(name);
        return found == fields.end() ? "" : found->second;
    }
};

/// \brief One connection; reads whole messages.
class connection
{
public:
    explicit connection(int descriptor) : descriptor_{descriptor} {}
    connection(const connection&) = delete;
    auto operator=(const connection&) -> connection& = delete;
    ~connection() { close(); }

    auto close() -> void
    {
        if (descriptor_ >= 0) {
            ::close(std::exchange(descriptor_, -1));
        }
    }

    /// \brief Closes with a reset.
    auto reset() -> void
    {
        const auto option = linger{1, 0};
        setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
        close();
    }

    auto send(const std::string& text) -> bool
    {
        auto sent = std::size_t{0};
        while (descriptor_ >= 0 && sent < text.size()) {
            const auto count =
                ::send(descriptor_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return descriptor_ >= 0;
    }

    /// \brief Whether the other side has closed, or data has come, within a time.
    [[nodiscard]] auto readable(milliseconds limit) const -> bool
    {
        auto entry = pollfd{descriptor_, POLLIN, 0};
        return poll(&entry, 1, static_cast<int>(limit.count())) > 0;
    }

    /// \brief Reads a message.
    /// \returns Nothing if the connection ended or the time ran out before the message was whole.
    auto read(steady::time_point until) -> std::optional<message>
    {
        auto end = std::string::npos;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until)) {
                return std::nullopt;
            }
        }
        auto result = parse_head(buffer_.substr(0, end));
        buffer_.erase(0, end + 4);
        const auto length = std::strtoull(result.field("content-length").c_str(), nullptr, 10);
        while (buffer_.size() < length) {
            if (!fill(until)) {
                return std::nullopt;
            }
        }
        result.body = buffer_.substr(0, length);
        buffer_.erase(0, length);
        return result;
    }

    /// \brief Why the latest read ended without a message.
    [[nodiscard]] auto end() const -> const std::string& { return end_; }

private:
    auto fill(steady::time_point until) -> bool
    {
        const auto left =
            std::chrono::duration_cast<milliseconds>(until - steady::now()) + milliseconds{1};
        if (descriptor_ < 0 || left.count() <= 0 || !readable(left)) {
            end_ = "no answer in time";
            return false;
        }
        char bytes[16'384];
        const auto count = recv(descriptor_, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            end_ = count == 0 ? "closed" : "reset";
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    static auto parse_head(const std::string& text) -> message
    {
        auto result = message{};
        auto lines = std::istringstream{text};
        auto line = std::string{};
        std::getline(lines, line);
        auto words = std::istringstream{line};
        auto first = std::string{};
        auto second = std::string{};
        words >> first >> second;
        const auto answer = first.starts_with("HTTP/");
        result.method_or_status = answer ? second : first;
        result.target = answer ? "" : second;
        while (std::getline(lines, line)) {
            const auto colon = line.find(':');
            auto name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char letter) { return std::tolower(letter); });
            auto value = colon == std::string::npos ? "" : line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            value.erase(value.find_last_not_of(" \r") + 1);
            result.fields[name] = value;
        }
        return result;
    }

    int descriptor_;
    std::string buffer_;
    std::string end_;
};

inline auto endpoint(const std::string& ip, int port) -> sockaddr_in
{
    auto where = sockaddr_in{};
    where.sin_family = AF_INET;
    where.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &where.sin_addr);
    return where;
}

/// \brief Connects; nothing if that takes over a second.
inline auto dial(const std::string& ip, int port) -> std::unique_ptr<connection>
{
    const auto descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto limit = timeval{1, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    const auto one = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    const auto where = endpoint(ip, port);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&where), sizeof(where)) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_unique<connection>(descriptor);
}

/// \brief Listens, with a thread for each connection; ends with the process.
class server
{
public:
    using session = std::function<void(connection&)>;

    server(const std::string& ip, int port, session serve) : serve_{std::move(serve)}
    {
        listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto one = 1;
        setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
        const auto where = endpoint(ip, port);
        if (bind(listener_, reinterpret_cast<const sockaddr*>(&where), sizeof(where)) != 0 ||
            listen(listener_, 128) != 0) {
            std::cerr << "cannot listen at " << ip << ':' << port << '\n';
            std::_Exit(2);
        }
        std::thread{[this] { accept_all(); }}.detach();
    }

private:
    auto accept_all() -> void
    {
        while (true) {
            const auto descriptor = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) {
                continue;
            }
            const auto one = 1;
            setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
            std::thread{[this, descriptor] {
                auto open = connection{descriptor};
                serve_(open);
            }}.detach();
        }
    }

    session serve_;
    int listener_;
};

inline auto answer_text(int status, const std::string& fields, const std::string& body)
    -> std::string
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline auto base64(const std::string& text) -> std::string
{
    static constexpr auto letters =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    auto result = std::string{};
    for (auto index = std::size_t{0}; index < text.size(); index += 3) {
        auto group = std::uint32_t{0};
        const auto count = std::min<std::size_t>(3, text.size() - index);
        for (auto byte = std::size_t{0}; byte < 3; ++byte) {
            const auto value =
                byte < count ? static_cast<unsigned char>(text[index + byte]) : std::uint32_t{0};
            group = group << 8U | value;
        }
        for (auto letter = std::size_t{0}; letter < 4; ++letter) {
            result += letter <= count ? letters[group >> (18 - 6 * letter) & 63U] : '=';
        }
    }
    return result;
}

/// \brief The platform's store: ranges, watches and transactions; keeps the changes of 20 s.
class store
{
public:
    /// \param stale_by How old an answer is to a read that may be stale.
    store(const std::string& ip, int port, milliseconds stale_by = milliseconds{0})
        : stale_by_{stale_by}, server_{ip, port, [this](connection& open) { serve(open); }}
    {
    }

    auto put(const std::string& key, const nlohmann::json& value) -> void
    {
        const auto lock = std::lock_guard{mutex_};
        write(key, base64(value.dump()));
    }

    /// \brief Writes the entry of a leaf now and every 1.2 s.
    auto keep_leaf(const std::string& id, nlohmann::json entry) -> void
    {
        std::thread{[this, key = "servers/" + id, entry = std::move(entry)]() mutable {
            for (auto sequence = 1;; ++sequence) {
                entry["sequence"] = sequence;
                put(key, entry);
                std::this_thread::sleep_for(heartbeat);
            }
        }}.detach();
    }

    auto remove(const std::string& key) -> void
    {
        const auto lock = std::lock_guard{mutex_};
        revision_ += 1;
        items_.erase(key);
        note_change({{"key", key}, {"revision", revision_}, {"deleted", true}});
    }

private:
    auto write(const std::string& key, const std::string& value) -> void
    {
        revision_ += 1;
        const auto known = items_.find(key);
        const auto made =
            known == items_.end() ? revision_ : known->second.at("createRevision").get<int>();
        items_[key] = {{"key", key},
                       {"value", value},
                       {"revision", revision_},
                       {"createRevision", made},
                       {"lease", 0}};
        note_change(items_[key]);
    }

    auto note_change(const nlohmann::json& change) -> void
    {
        history_[revision_] = {steady::now(), change};
        forget_oldest();
        changed_.notify_all();
    }

    auto forget_oldest() -> void
    {
        while (!history_.empty() && steady::now() - history_.begin()->second.first > kept_for) {
            const auto& oldest = history_.begin()->second.second;
            history_from_ = history_.begin()->first;
            if (oldest.contains("deleted")) {
                before_.erase(oldest.at("key"));
            } else {
                before_[oldest.at("key")] = oldest;
            }
            history_.erase(history_.begin());
        }
    }

    static auto arguments(const std::string& target) -> std::map<std::string, std::string>
    {
        auto result = std::map<std::string, std::string>{};
        const auto mark = target.find('?');
        auto text = std::istringstream{mark == std::string::npos ? "" : target.substr(mark + 1)};
        for (auto pair = std::string{}; std::getline(text, pair, '&');) {
            result[pair.substr(0, pair.find('='))] = pair.substr(pair.find('=') + 1);
        }
        return result;
    }

    auto serve(connection& open) -> void
    {
        while (const auto call = open.read(steady::now() + std::chrono::hours{1})) {
            const auto given = arguments(call->target);
            auto body = nlohmann::json{};
            auto status = 200;
            if (call->target.starts_with("/api/kv-range")) {
                body = range(given);
            } else if (call->target.starts_with("/api/kv-watch")) {
                body = watch(given, status);
            } else if (call->target.starts_with("/api/kv-txn")) {
                body = transact(nlohmann::json::parse(call->body), status);
            } else {
                status = 404;
                body = {{"error", "no such call"}};
            }
            if (!open.send(
                    answer_text(status, "Content-Type: application/json\r\n", body.dump()))) {
                return;
            }
        }
    }

    auto range(const std::map<std::string, std::string>& given) -> nlohmann::json
    {
        const auto lock = std::lock_guard{mutex_};
        const auto value = [&](const char* name) {
            const auto found = given.find(name);
            return found == given.end() ? std::string{} : found->second;
        };
        auto revision = revision_;
        auto state = items_;
        if (value("staleOk") == "1" && stale_by_ > milliseconds{0}) {
            revision = history_from_;
            state = before_;
            for (const auto& [changed_at, change] : history_) {
                if (steady::now() - change.first < stale_by_) {
                    break;
                }
                revision = changed_at;
                const auto& key = change.second.at("key").get_ref<const std::string&>();
                if (change.second.contains("deleted")) {
                    state.erase(key);
                } else {
                    state[key] = change.second;
                }
            }
        }
        auto items = nlohmann::json::array();
        for (const auto& [key, item] : state) {
            if (key.starts_with(value("prefix")) && key > value("after")) {
                items.push_back(item);
            }
        }
        return {{"items", items}, {"truncated", false}, {"asOf", revision}};
    }

    auto watch(const std::map<std::string, std::string>& given, int& status) -> nlohmann::json
    {
        auto lock = std::unique_lock{mutex_};
        const auto after = std::stoull(given.at("after"));
        forget_oldest();
        if (after < history_from_) {
            status = 410;
            return {{"error", "history is gone"}};
        }
        const auto prefix = given.contains("prefix") ? given.at("prefix") : "";
        const auto wait = milliseconds{std::stoll(given.at("waitMs"))};
        auto events = nlohmann::json::array();
        changed_.wait_for(lock, wait, [&] {
            for (auto change = history_.upper_bound(after); change != history_.end(); ++change) {
                const auto& item = change->second.second;
                if (item.at("key").get_ref<const std::string&>().starts_with(prefix)) {
                    events.push_back(item);
                }
            }
            return !events.empty();
        });
        return {{"events", events}, {"asOf", revision_}};
    }

    auto transact(const nlohmann::json& call, int& status) -> nlohmann::json
    {
        const auto lock = std::lock_guard{mutex_};
        for (const auto& wanted : call.at("expectedRevision")) {
            const auto found = items_.find(wanted.at("key").get<std::string>());
            const auto revision = found == items_.end()
                                      ? std::uint64_t{0}
                                      : found->second.at("revision").get<std::uint64_t>();
            if (revision != wanted.at("revision").get<std::uint64_t>()) {
                status = 412;
                return {{"items", nlohmann::json::array()}};
            }
        }
        for (const auto& entry : call.at("writes")) {
            write(entry.at("key"), entry.at("value"));
        }
        return {{"revision", revision_}};
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    static constexpr auto heartbeat = milliseconds{1'200};
    static constexpr auto kept_for = std::chrono::seconds{20}; // platform.historyS

    milliseconds stale_by_;
    std::uint64_t revision_ = 1;
    std::uint64_t history_from_ = 0;
    std::map<std::string, nlohmann::json> items_;
    std::map<std::string, nlohmann::json> before_; ///< Items before the changes that are kept.
    std::map<std::uint64_t, std::pair<steady::time_point, nlohmann::json>> history_;
    server server_;
};

/// \brief What a leaf writes of itself.
inline auto leaf_entry(const std::string& service, const std::string& ip, int port,
                       const std::string& zone) -> nlohmann::json
{
    return {{"service", service},
            {"address", ip + ":" + std::to_string(port)},
            {"zone", zone},
            {"version", "v1"},
            {"slots", 3},
            {"state", "ready"},
            {"sequence", 1},
            {"coldRemainingMs", 0},
            {"born", 1'700'000'000'000}};
}

/// \brief What a sound leaf answers.
inline auto leaf_answer(const std::string& id, const std::string& request) -> std::string
{
    return answer_text(
        200, concat("Server-Stamp: ", id, ".", request, "\r\nRequest-Id: ", request, "\r\n"),
        concat("done by ", id));
}

/// \brief A route to the service `desk`.
inline auto desk_route(const std::string& name, const std::string& type, int timeout_ms)
    -> nlohmann::json
{
    return {{"name", name},           {"host", "desk.example"}, {"prefix", concat("/", name, "/")},
            {"service", "desk"},      {"routeType", type},      {"timeoutMs", timeout_ms},
            {"targetLatencyMs", 600}, {"priority", 1},          {"maxAttempts", 2}};
}

/// \brief A configuration with the service `desk`.
inline auto desk_configuration(int version, nlohmann::json routes) -> nlohmann::json
{
    return {{"version", version},
            {"routes", std::move(routes)},
            {"services", {{{"name", "desk"}, {"maxConnections", 110}, {"healthPath", "/health"}}}},
            {"limits", {{"idleTimeoutMs", 15'000}}}};
}

/// \brief Routes of a configuration that nearly fills a value of the store (platform.valueBytes).
class big_routes
{
public:
    static constexpr auto value_bytes = std::size_t{1'048'576};

    big_routes()
    {
        const auto size = [](int count) { return routes(count, 4'000).dump().size(); };
        const auto one = size(3) - size(2) + 6; // longer names come later
        count_ = static_cast<int>(value_bytes * 95 / 100 / one);
    }

    [[nodiscard]] auto count() const noexcept -> int { return count_; }

    /// \brief The route `read` and many idle ones, whose time-out tells versions apart.
    [[nodiscard]] auto of_version(int version) const -> nlohmann::json
    {
        return routes(count_, 4'000 + version % 100);
    }

private:
    static auto routes(int count, int timeout_ms) -> nlohmann::json
    {
        auto result = nlohmann::json::array();
        for (auto index = 0; index < count; ++index) {
            const auto name = index == 0 ? std::string{"read"} : "idle" + std::to_string(index);
            result.push_back(desk_route(name, "idempotent", index == 0 ? 4'000 : timeout_ms));
        }
        return result;
    }

    int count_ = 0;
};

/// \brief Waits until an entry daemon says that it is ready.
inline auto wait_until_ready(const std::string& ip, int port, milliseconds limit) -> bool
{
    const auto until = steady::now() + limit;
    while (steady::now() < until) {
        if (const auto open = dial(ip, port)) {
            open->send("GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
            const auto answer = open->read(steady::now() + milliseconds{500});
            if (answer && answer->method_or_status == "200") {
                return true;
            }
        }
        std::this_thread::sleep_for(milliseconds{50});
    }
    return false;
}

} // namespace review
