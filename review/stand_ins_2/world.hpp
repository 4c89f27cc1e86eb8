// Small stand-ins for the scripts of the second review: the platform's store, leafs, consumers and
// the start of entry processes. Everything is on loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace world {

using json = nlohmann::json;
using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline auto sleep_ms(int ms) -> void
{
    std::this_thread::sleep_for(milliseconds{ms});
}

/// Lines of record.txt: milliseconds since the start, who, what.
class record
{
public:
    explicit record(const std::string& path) : file_{path}, start_{clock_type::now()} {}

    auto line(const std::string& text) -> void
    {
        const auto guard = std::lock_guard{mutex_};
        const auto ms =
            std::chrono::duration_cast<milliseconds>(clock_type::now() - start_).count();
        file_ << ms << " " << text << "\n";
        file_.flush();
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
    clock_type::time_point start_;
};

/// The parts one after the other.
template <typename... Parts>
[[nodiscard]] auto text_of(const Parts&... parts) -> std::string
{
    auto stream = std::ostringstream{};
    (stream << ... << parts);
    return stream.str();
}

// ---------------------------------------------------------------- sockets

inline auto address_of(const std::string& ip, int port) -> sockaddr_in
{
    auto where = sockaddr_in{};
    where.sin_family = AF_INET;
    where.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &where.sin_addr);
    return where;
}

/// A port that is free on this address now, for TCP and UDP.
inline auto free_port(const std::string& ip) -> int
{
    for (auto tries = 0; tries < 50; ++tries) {
        const auto tcp = socket(AF_INET, SOCK_STREAM, 0);
        auto where = address_of(ip, 0);
        auto size = static_cast<socklen_t>(sizeof(where));
        bind(tcp, reinterpret_cast<sockaddr*>(&where), sizeof(where));
        getsockname(tcp, reinterpret_cast<sockaddr*>(&where), &size);
        const auto port = ntohs(where.sin_port);
        const auto udp = socket(AF_INET, SOCK_DGRAM, 0);
        const auto both = bind(udp, reinterpret_cast<sockaddr*>(&where), sizeof(where)) == 0;
        close(tcp);
        close(udp);
        if (both) {
            return port;
        }
    }
    return 0;
}

inline auto listen_at(const std::string& ip, int port) -> int
{
    const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto yes = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    auto where = address_of(ip, port);
    if (bind(fd, reinterpret_cast<sockaddr*>(&where), sizeof(where)) != 0 || listen(fd, 512) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

inline auto connect_to(const std::string& ip, int port) -> int
{
    const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto where = address_of(ip, port);
    if (connect(fd, reinterpret_cast<sockaddr*>(&where), sizeof(where)) != 0) {
        close(fd);
        return -1;
    }
    const auto yes = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    return fd;
}

inline auto send_all(int fd, const std::string& text) -> bool
{
    auto sent = std::size_t{0};
    while (sent < text.size()) {
        const auto count = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

struct message
{
    std::string first;                              ///< Request line or status line.
    std::multimap<std::string, std::string> fields; ///< Names in lower case.
    std::string body;
    bool complete = false;

    [[nodiscard]] auto field(const std::string& name) const -> std::string
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string{} : found->second;
    }
    [[nodiscard]] auto word(int index) const -> std::string
    {
        auto stream = std::istringstream{first};
        auto text = std::string{};
        for (auto at = 0; at <= index; ++at) {
            stream >> text;
        }
        return text;
    }
    [[nodiscard]] auto status() const -> int
    {
        return first.empty() ? 0 : std::atoi(word(1).c_str());
    }
};

/// Reads messages of HTTP/1.1 from a socket; keeps what follows a message.
class reader
{
public:
    explicit reader(int fd) : fd_{fd} {}

    /// \param limit_ms 0: no limit.
    auto next(message& out, int limit_ms = 0, bool answer = false) -> bool
    {
        out = {};
        const auto end = clock_type::now() + milliseconds{limit_ms};
        auto head = std::string::npos;
        while ((head = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!more(limit_ms, end)) {
                return false;
            }
        }
        auto stream = std::istringstream{buffer_.substr(0, head)};
        std::getline(stream, out.first);
        if (!out.first.empty() && out.first.back() == '\r') {
            out.first.pop_back();
        }
        for (auto line = std::string{}; std::getline(stream, line);) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            const auto colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            auto name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            const auto begin = line.find_first_not_of(" \t", colon + 1);
            out.fields.emplace(name, begin == std::string::npos ? "" : line.substr(begin));
        }
        buffer_.erase(0, head + 4);
        if (out.field("transfer-encoding") == "chunked") {
            return chunks(out, limit_ms, end);
        }
        const auto length = out.field("content-length");
        if (length.empty() && answer) {
            while (more(limit_ms, end)) {
            }
            out.body = std::exchange(buffer_, {});
            out.complete = true;
            return true;
        }
        const auto size = static_cast<std::size_t>(std::atoll(length.c_str()));
        while (buffer_.size() < size) {
            if (!more(limit_ms, end)) {
                return false;
            }
        }
        out.body = buffer_.substr(0, size);
        buffer_.erase(0, size);
        out.complete = true;
        return true;
    }

    [[nodiscard]] auto rest() const -> const std::string& { return buffer_; }

private:
    auto chunks(message& out, int limit_ms, clock_type::time_point end) -> bool
    {
        while (true) {
            auto eol = std::string::npos;
            while ((eol = buffer_.find("\r\n")) == std::string::npos) {
                if (!more(limit_ms, end)) {
                    return false;
                }
            }
            const auto size = std::strtoul(buffer_.c_str(), nullptr, 16);
            while (buffer_.size() < eol + 2 + size + 2) {
                if (!more(limit_ms, end)) {
                    return false;
                }
            }
            out.body += buffer_.substr(eol + 2, size);
            buffer_.erase(0, eol + 2 + size + 2);
            if (size == 0) {
                out.complete = true;
                return true;
            }
        }
    }

    auto more(int limit_ms, clock_type::time_point end) -> bool
    {
        if (limit_ms > 0) {
            const auto left =
                std::chrono::duration_cast<milliseconds>(end - clock_type::now()).count();
            auto wanted = pollfd{fd_, POLLIN, 0};
            if (left <= 0 || poll(&wanted, 1, static_cast<int>(left)) <= 0) {
                return false;
            }
        }
        char chunk[65536];
        const auto count = recv(fd_, chunk, sizeof(chunk), 0);
        if (count <= 0) {
            return false;
        }
        buffer_.append(chunk, static_cast<std::size_t>(count));
        return true;
    }

    int fd_;
    std::string buffer_;
};

/// Accepts connections and runs a handler for each in a thread of its own.
class server
{
public:
    using handler = std::function<void(int fd)>;

    server(std::string ip, int port, handler work)
        : ip_{std::move(ip)}, port_{port}, work_{std::move(work)}
    {
        fd_ = listen_at(ip_, port_);
        if (fd_ < 0) {
            std::fprintf(stderr, "cannot listen at %s:%d\n", ip_.c_str(), port_);
            std::exit(2);
        }
        std::thread{[this] {
            while (true) {
                const auto fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0) {
                    return;
                }
                const auto yes = 1;
                setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
                std::thread{[this, fd] { work_(fd); }}.detach();
            }
        }}.detach();
    }
    [[nodiscard]] auto port() const -> int { return port_; }
    [[nodiscard]] auto ip() const -> const std::string& { return ip_; }
    [[nodiscard]] auto text() const -> std::string { return ip_ + ":" + std::to_string(port_); }

private:
    std::string ip_;
    int port_;
    handler work_;
    int fd_ = -1;
};

inline auto reply(int status, const std::string& body, const std::string& fields = {})
    -> std::string
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---------------------------------------------------------------- the platform's store

inline auto to_base64(const std::string& in) -> std::string
{
    constexpr auto* letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    auto out = std::string{};
    for (auto at = std::size_t{0}; at < in.size(); at += 3) {
        auto word = 0U;
        for (auto byte = 0U; byte < 3; ++byte) {
            word = word << 8U |
                   (at + byte < in.size() ? static_cast<unsigned char>(in[at + byte]) : 0U);
        }
        for (auto digit = 0U; digit < 4; ++digit) {
            out += at + digit <= in.size() || digit < 2 ? letters[word >> (18U - 6U * digit) & 63U]
                                                        : '=';
        }
        if (at + 3 > in.size()) {
            const auto missing = at + 3 - in.size();
            for (auto pad = std::size_t{0}; pad < missing; ++pad) {
                out[out.size() - 1 - pad] = '=';
            }
        }
    }
    return out;
}

inline auto query_value(const std::string& target, const std::string& name) -> std::string
{
    const auto mark = target.find('?');
    auto text = mark == std::string::npos ? std::string{} : target.substr(mark + 1);
    auto stream = std::istringstream{text};
    for (auto pair = std::string{}; std::getline(stream, pair, '&');) {
        if (pair.starts_with(name + "=")) {
            auto value = std::string{};
            const auto raw = pair.substr(name.size() + 1);
            for (auto at = std::size_t{0}; at < raw.size(); ++at) {
                if (raw[at] == '%' && at + 2 < raw.size()) {
                    value += static_cast<char>(std::stoi(raw.substr(at + 1, 2), nullptr, 16));
                    at += 2;
                } else {
                    value += raw[at];
                }
            }
            return value;
        }
    }
    return {};
}

class store
{
public:
    explicit store(const std::string& ip)
        : server_{ip, free_port(ip), [this](int fd) { serve(fd); }}
    {
    }

    auto put(const std::string& key, const std::string& value) -> void
    {
        const auto guard = std::lock_guard{mutex_};
        write(key, value);
    }
    auto remove(const std::string& key) -> void
    {
        const auto guard = std::lock_guard{mutex_};
        erase(key);
    }
    [[nodiscard]] auto text() const -> std::string { return server_.text(); }

private:
    struct item
    {
        std::string value; ///< As base64.
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    struct change
    {
        std::uint64_t revision;
        json event;
    };

    auto write(const std::string& key, const std::string& value) -> void
    {
        write_encoded(key, to_base64(value));
    }
    auto write_encoded(const std::string& key, const std::string& value) -> void
    {
        revision_ += 1;
        auto& known = items_[key];
        known.value = value;
        known.revision = revision_;
        known.created = known.created == 0 ? revision_ : known.created;
        changes_.push_back({revision_, event_of(key, known)});
        changed_.notify_all();
    }
    auto erase(const std::string& key) -> void
    {
        if (items_.erase(key) > 0) {
            revision_ += 1;
            changes_.push_back(
                {revision_, json{{"key", key}, {"revision", revision_}, {"deleted", true}}});
            changed_.notify_all();
        }
    }
    static auto event_of(const std::string& key, const item& known) -> json
    {
        return json{{"key", key},
                    {"value", known.value},
                    {"revision", known.revision},
                    {"createRevision", known.created},
                    {"lease", 0}};
    }

    auto serve(int fd) -> void
    {
        auto input = reader{fd};
        auto request = message{};
        while (input.next(request)) {
            if (!send_all(fd, answer(request))) {
                break;
            }
        }
        close(fd);
    }

    auto answer(const message& request) -> std::string
    {
        const auto target = request.word(1);
        const auto path = target.substr(0, target.find('?'));
        auto guard = std::unique_lock{mutex_};
        if (path == "/api/kv-range") {
            const auto prefix = query_value(target, "prefix");
            const auto after = query_value(target, "after");
            auto list = json::array();
            auto truncated = false;
            for (const auto& [key, known] : items_) {
                if (!key.starts_with(prefix) || (!after.empty() && key <= after)) {
                    continue;
                }
                if (list.size() == 500) {
                    truncated = true;
                    break;
                }
                list.push_back(event_of(key, known));
            }
            return reply(
                200, json{{"items", list}, {"truncated", truncated}, {"asOf", revision_}}.dump());
        }
        if (path == "/api/kv-watch") {
            const auto after =
                static_cast<std::uint64_t>(std::atoll(query_value(target, "after").c_str()));
            const auto wait = std::atoi(query_value(target, "waitMs").c_str());
            changed_.wait_for(guard, milliseconds{wait}, [&] { return revision_ > after; });
            auto events = json::array();
            for (const auto& known : changes_) {
                if (known.revision > after) {
                    events.push_back(known.event);
                }
            }
            return reply(200, json{{"events", events}, {"asOf", revision_}}.dump());
        }
        if (path == "/api/kv-key") {
            const auto found = items_.find(query_value(target, "key"));
            return found == items_.end() ? reply(404, "{}")
                                         : reply(200, event_of(found->first, found->second).dump());
        }
        if (path == "/api/kv-txn") {
            const auto body = json::parse(request.body, nullptr, false);
            auto current = json::array();
            auto holds = true;
            for (const auto& row : body["expectedRevision"]) {
                const auto found = items_.find(row["key"].get<std::string>());
                const auto revision = found == items_.end() ? 0 : found->second.revision;
                holds = holds && revision == row["revision"].get<std::uint64_t>();
                if (found != items_.end()) {
                    current.push_back(event_of(found->first, found->second));
                }
            }
            if (!holds) {
                return reply(412, json{{"items", current}}.dump());
            }
            for (const auto& row : body["writes"]) {
                write_encoded(row["key"].get<std::string>(), row["value"].get<std::string>());
            }
            for (const auto& key : body["remove"]) {
                erase(key.get<std::string>());
            }
            return reply(200, json{{"revision", revision_}}.dump());
        }
        return reply(404, "{}");
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::vector<change> changes_;
    std::uint64_t revision_ = 100;
    server server_;
};

// ---------------------------------------------------------------- leafs

/// A sound leaf: runs one request at a time on a connection, answers with its id and proof.
class leaf
{
public:
    using body_maker = std::function<std::string(const message&)>;

    leaf(const std::string& ip, std::string id, std::string service, record& log)
        : id_{std::move(id)}, service_{std::move(service)}, log_{&log}, server_{ip, free_port(ip),
                                                                                [this](int fd) {
                                                                                    serve(fd);
                                                                                }}
    {
    }

    std::atomic<int> work_ms{5};
    std::atomic<bool> quiet{false}; ///< Runs are counted, not recorded.
    std::atomic<std::uint64_t> runs{0};
    body_maker make_body = [](const message&) { return std::string(32, 'r'); };
    /// Called when a run begins, with the request.
    std::function<void(const message&)> on_run;
    /// Whether an answer is followed by a second copy, which arrives late, at the point where the
    /// next answer is expected.
    std::function<bool()> extra_late = [] { return false; };

    [[nodiscard]] auto entry(std::uint64_t sequence, const std::string& state = "ready") const
        -> std::string
    {
        return json{{"service", service_},  {"address", server_.text()},
                    {"zone", "a"},          {"version", "v1"},
                    {"slots", 2},           {"state", state},
                    {"coldRemainingMs", 0}, {"sequence", sequence},
                    {"born", born_}}
            .dump();
    }
    [[nodiscard]] auto id() const -> const std::string& { return id_; }
    [[nodiscard]] auto service() const -> const std::string& { return service_; }

private:
    auto serve(int fd) -> void
    {
        auto input = reader{fd};
        auto request = message{};
        auto extra = std::string{};
        while (input.next(request)) {
            if (!extra.empty() && !send_all(fd, std::exchange(extra, {}))) {
                break;
            }
            if (!request.field("expect-instance").empty() &&
                request.field("expect-instance") != id_) {
                if (!send_all(fd, reply(421, "", "Not-Executed: 1\r\n"))) {
                    break;
                }
                continue;
            }
            const auto request_id = request.field("request-id");
            if (request_id.empty()) {
                log_->line("leaf " + id_ + " rejects a request without an id: 400");
                if (!send_all(fd, reply(400, "", "Not-Executed: 1\r\n"))) {
                    break;
                }
                continue;
            }
            runs += 1;
            if (!quiet) {
                log_->line("leaf " + id_ + " runs id=" + request_id + " " + request.word(0) + " " +
                           request.word(1) + " body_bytes=" + std::to_string(request.body.size()));
            }
            if (on_run) {
                on_run(request);
            }
            sleep_ms(work_ms);
            const auto stamp = id_ + "." + request_id + ".1";
            const auto answer =
                reply(200, make_body(request),
                      "Request-Id: " + request_id + "\r\nServer-Stamp: " + stamp + "\r\n");
            if (!send_all(fd, answer)) {
                break;
            }
            if (extra_late()) {
                log_->line("leaf " + id_ +
                           " will send a second copy of the answer to id=" + request_id);
                extra = answer;
            }
        }
        close(fd);
    }

    std::string id_;
    std::string service_;
    record* log_;
    std::int64_t born_ = std::chrono::duration_cast<milliseconds>(
                             std::chrono::system_clock::now().time_since_epoch())
                             .count();
    server server_;
};

// ---------------------------------------------------------------- entry processes

struct entry_options
{
    std::string program; ///< Of the deploy file's build.
    std::string folder;  ///< Temporary folder.
    std::string name = "front-a-1";
    std::string ip = "127.0.0.1";
    std::string store;
    std::string seeds = "[]";
    double share = 0.25;
    int memory_mb = 260;
    int fds = 4100;
    double grace_s = 6;
};

class entry
{
public:
    /// Ports are the same on all machines, so another entry process may give them.
    explicit entry(entry_options options, const entry* ports = nullptr)
        : options_{std::move(options)}
    {
        if (ports != nullptr) {
            front = ports->front;
            ready = ports->ready;
            directory = ports->directory;
            control = ports->control;
            peer = ports->peer;
            return;
        }
        for (auto* port : {&front, &ready, &directory, &control, &peer}) {
            *port = free_port(options_.ip);
        }
    }
    ~entry() { kill_now(); }

    /// Starts the process with the command of the deploy file.
    auto start() -> void
    {
        const auto path = options_.folder + "/" + options_.name + ".conf";
        const auto at = [&](int port) { return options_.ip + ":" + std::to_string(port); };
        auto settings = std::ofstream{path};
        settings << "{\"instance\": \"" << options_.name << "\", \"availability_zone\": \"a\",\n"
                 << "\"caller_address\": \"" << at(front) << "\", \"readiness_address\": \""
                 << at(ready) << "\",\n\"directory_address\": \"" << at(directory)
                 << "\", \"admin_address\": \"" << at(control) << "\",\n\"peer_address\": \""
                 << at(peer) << "\", \"seeds\": " << options_.seeds
                 << ",\n\"processor_share\": " << options_.share
                 << ", \"cores\": 1, \"memory_limit_mb\": " << options_.memory_mb
                 << ", \"max_descriptors\": " << options_.fds << ",\n\"store_address\": \""
                 << options_.store
                 << "\", \"address_lifetime_ms\": 3000,\n\"configuration_limit_ms\": 3000, "
                    "\"drain_limit_ms\": 3000, \"zone_limit_ms\": 5000,\n\"strict_revocation\": "
                    "false, \"revocation_limit_ms\": 5000, \"share_by_demand\": false,\n"
                    "\"stop_grace_s\": "
                 << options_.grace_s
                 << ", \"extra_window_s\": 10, \"extra_ratio\": 0.2, \"extra_allowance\": 58}\n";
        settings.close();
        pid_ = fork();
        if (pid_ == 0) {
            const auto log = options_.folder + "/" + options_.name + ".log";
            const auto fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(fd, 1);
            dup2(fd, 2);
            execl(options_.program.c_str(), options_.program.c_str(), "--settings", path.c_str(),
                  nullptr);
            _exit(127);
        }
        auto pids = std::ofstream{options_.folder + "/pids", std::ios::app};
        pids << pid_ << "\n";
    }

    [[nodiscard]] auto get(int port, const std::string& target, int limit_ms = 1'000) const
        -> message
    {
        auto answer = message{};
        const auto fd = connect_to(options_.ip, port);
        if (fd >= 0) {
            send_all(fd, "GET " + target + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
            auto input = reader{fd};
            input.next(answer, limit_ms, true);
            close(fd);
        }
        return answer;
    }
    auto wait_ready(int limit_ms) const -> bool
    {
        const auto end = clock_type::now() + milliseconds{limit_ms};
        while (clock_type::now() < end) {
            if (get(ready, "/api/ready").status() == 200) {
                return true;
            }
            sleep_ms(50);
        }
        return false;
    }
    /// Whether the process runs; takes its end in if it has ended.
    auto running() -> bool
    {
        if (pid_ <= 0) {
            return false;
        }
        if (waitpid(pid_, &status_, WNOHANG) == pid_) {
            pid_ = -1;
            return false;
        }
        return true;
    }
    auto signal_to(int number) const -> void
    {
        if (pid_ > 0) {
            kill(pid_, number);
        }
    }
    auto kill_now() -> void
    {
        if (pid_ > 0) {
            kill(pid_, SIGKILL);
            waitpid(pid_, &status_, 0);
            pid_ = -1;
        }
    }
    [[nodiscard]] auto pid() const -> pid_t { return pid_; }
    [[nodiscard]] auto status() const -> int { return status_; }
    [[nodiscard]] auto ip() const -> const std::string& { return options_.ip; }
    [[nodiscard]] auto options() -> entry_options& { return options_; }

    int front = 0;
    int ready = 0;
    int directory = 0;
    int control = 0;
    int peer = 0;

private:
    entry_options options_;
    pid_t pid_ = -1;
    int status_ = 0;
};

/// Writes the leafs' entries as their heartbeats do, for as long as the program runs.
inline auto start_beats(store& platform, const std::vector<leaf*>& leafs, int beat_ms = 1'200)
    -> void
{
    for (auto* one : leafs) {
        platform.put("servers/" + one->id(), one->entry(1));
    }
    std::thread{[&platform, leafs, beat_ms] {
        for (auto sequence = std::uint64_t{2};; ++sequence) {
            sleep_ms(beat_ms);
            for (auto* one : leafs) {
                platform.put("servers/" + one->id(), one->entry(sequence));
            }
        }
    }}.detach();
}

inline auto route_of(const std::string& name, const std::string& prefix, const std::string& kind,
                     int timeout_ms, int goal_ms) -> json
{
    return json{{"name", name},      {"host", "pupu76.example"}, {"prefix", prefix},
                {"routeType", kind}, {"timeoutMs", timeout_ms},  {"targetLatencyMs", goal_ms},
                {"priority", 1},     {"maxAttempts", 2}};
}

inline auto config_of(int version, const json& routes, const json& services) -> std::string
{
    return json{{"version", version},
                {"routes", routes},
                {"services", services},
                {"limits",
                 {{"maxHeaderBytes", 16'384},
                  {"maxBodyBytes", 262'144},
                  {"headerTimeoutMs", 3'000},
                  {"idleTimeoutMs", 15'000}}}}
        .dump();
}

/// Ends the program at once: threads of the stand-ins still run.
[[noreturn]] inline auto leave(int code) -> void
{
    std::fflush(nullptr);
    std::_Exit(code);
}

inline auto trouble() -> bool
{
    const auto* text = std::getenv("TROUBLE");
    return text == nullptr || std::string{text} != "0";
}

} // namespace world
