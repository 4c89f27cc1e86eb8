// crowd: clients that nobody controls, a small crowd of them against one entry daemon with lowered
// limits; ends with 1 unless the daemon lives, stays within its bounds and answers afterwards.
#include "names.hpp"
#include "soak/entry_process.hpp"
#include "soak/store_stand_in.hpp"

#include <knapweedchute/net/asio_timer_queue.hpp>
#include <knapweedchute/net/call_client.hpp>
#include <knapweedchute/net/caller_listener.hpp>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>
#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace knapweedchute::crowd {
namespace {

using boost::asio::ip::tcp;

constexpr auto store_ip = 0x7f4d0001U;
constexpr auto entry_ip = 0x7f4d0002U;
constexpr auto first_target_ip = 0x7f4d0003U;
constexpr auto port = std::uint16_t{24'600};
constexpr auto memory_limit_mb = std::size_t{64};
constexpr auto mebibyte = std::size_t{1} << 20U;
constexpr auto calm_limit = milliseconds{20'000};
constexpr auto crowd_time = milliseconds{6'000};
constexpr auto answer_limit = milliseconds{40'000};
constexpr auto call_timeout = milliseconds{3'000};
constexpr auto step = milliseconds{50};
constexpr auto drip_interval = milliseconds{400};
constexpr auto reopen_pause = milliseconds{50};
constexpr auto large_answer_bytes = std::size_t{512} * 1'024;
constexpr auto status_ok = 200U;

/// A limit that the daemon's memory can't honour.
constexpr auto unservable_header_bytes = std::size_t{1'000'000'000};

/// What the members of a crowd do; the body limit is 262,144 bytes.
struct behaviour
{
    std::size_t members = 0;
    std::string bytes;           ///< Sent at once by each; a byte is sent now and then after it.
    bool reads = true;           ///< Whether answers are read.
    std::size_t descriptors = 0; ///< Descriptors that the daemon may open; 0: as this process.
    std::size_t max_header_bytes = 16'384; ///< Limit in the configuration.
};

auto chunked_post() -> std::string
{
    return "POST /q/x HTTP/1.1\r\nHost: crowd\r\nRequest-Id: c\r\nDeadline-Ms: 600000\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
}

auto behaviour_of(const std::string& name) -> behaviour
{
    constexpr auto body_but_its_end = std::size_t{256'000};
    const auto repeated = [](const std::string& text, std::size_t count) {
        auto all = std::string{};
        for (auto index = std::size_t{0}; index < count; ++index) {
            all += text;
        }
        return all;
    };
    const auto last_chunk = std::string{"1800\r\n"};
    if (name == "large_chunks") {
        const auto chunk = "7d00\r\n" + std::string(32'000, 'x') + "\r\n";
        return {400, chunked_post() + repeated(chunk, body_but_its_end / 32'000) + last_chunk};
    }
    if (name == "tiny_chunks") {
        return {300,
                chunked_post() + repeated("8\r\nxxxxxxxx\r\n", body_but_its_end / 8) + last_chunk};
    }
    if (name == "slow_heads") {
        return {400, "GET /q/x HTTP/1.1\r\nHost: crowd\r\nX: " + std::string(12'000, 'x'), true,
                256};
    }
    if (name == "long_headers") {
        return {200, "GET /q/x HTTP/1.1\r\nHost: crowd\r\nX: " + std::string(300'000, 'x'), true, 0,
                unservable_header_bytes};
    }
    if (name == "many_headers") {
        return {200, "GET /q/x HTTP/1.1\r\nHost: crowd\r\n" + repeated("a:\r\n", 50'000), true, 0,
                unservable_header_bytes};
    }
    if (name == "slow_readers") {
        const auto ask = [](const std::string& path) {
            return "GET " + path +
                   " HTTP/1.1\r\nHost: crowd\r\nRequest-Id: c\r\nDeadline-Ms: 8000\r\n\r\n";
        };
        return {400, ask("/q/large") + repeated(ask("/q/x"), 700), false};
    }
    throw std::runtime_error{"no such case: " + name};
}

/// Answers at once; "/q/large" with many bytes.
class target final : public request_handler
{
public:
    explicit target(std::string id) : id_{std::move(id)} {}

    auto handle(relayed_request request, responder respond) -> std::uint64_t override
    {
        const auto bytes = request.target == "/q/large" ? large_answer_bytes : std::size_t{64};
        respond({status_ok,
                 {{"Server-Stamp", id_ + "." + request.id}, {"Request-Id", request.id}},
                 std::string(bytes, 'a')});
        return 0;
    }
    auto cancel(std::uint64_t) -> void override {}
    [[nodiscard]] auto limits() const -> caller_limits override { return {}; }

private:
    std::string id_;
};

/// One connection of the crowd; opened again when the daemon closes it.
class member : public std::enable_shared_from_this<member>
{
public:
    member(boost::asio::io_context& loop, timer_queue& timers, const behaviour& does,
           const bool& reopens)
        : socket_{loop}, timers_{&timers}, does_{&does}, reopens_{&reopens}
    {
    }

private:
    /// \returns Work for this opening of the connection alone.
    template <typename work>
    auto guarded_now(work run) -> std::function<void()>
    {
        return [self = shared_from_this(), opening = opened_, run] {
            if (opening == self->opened_) {
                run();
            }
        };
    }

    /// \returns What goes on after an operation, or opens the connection again after a failure.
    template <typename work>
    auto guarded(work run)
    {
        return [self = shared_from_this(), opening = opened_,
                run](const boost::system::error_code& failure, auto&&...) {
            if (opening != self->opened_) {
                return;
            }
            if (!failure) {
                run();
                return;
            }
            self->opened_ += 1;
            self->timers_->at(self->timers_->now() + reopen_pause, [self] { self->open(); });
        };
    }

public:
    auto open() -> void
    {
        auto ignored = boost::system::error_code{};
        socket_.close(ignored);
        if (!*reopens_) {
            return;
        }
        opened_ += 1;
        socket_.open(tcp::v4(), ignored);
        if (!does_->reads) {
            constexpr auto receive_bytes = 4'096;
            socket_.set_option(tcp::socket::receive_buffer_size{receive_bytes}, ignored);
        }
        const auto where = tcp::endpoint{boost::asio::ip::address_v4{entry_ip}, port};
        socket_.async_connect(where, guarded([this] {
                                  send(does_->bytes);
                                  if (does_->reads) {
                                      read();
                                  }
                              }));
    }

private:
    auto send(const std::string& bytes) -> void
    {
        boost::asio::async_write(socket_, boost::asio::buffer(bytes), guarded([this] {
                                     timers_->at(timers_->now() + drip_interval,
                                                 guarded_now([this] {
                                                     static const auto drip = std::string{"x"};
                                                     send(drip);
                                                 }));
                                 }));
    }

    auto read() -> void
    {
        socket_.async_read_some(boost::asio::buffer(received_), guarded([this] { read(); }));
    }

    tcp::socket socket_;
    timer_queue* timers_;
    const behaviour* does_;
    const bool* reopens_;
    std::uint64_t opened_ = 0;
    std::array<char, 4'096> received_{};
};

/// One entry daemon, its store and targets, and the crowd.
class world
{
public:
    world(const std::string& program, const std::filesystem::path& work, const behaviour& does)
        : does_{does}, store_listener_{loop_, store_, timers_, names_},
          entry_{program, (work / "entry.json").string(), (work / "entry.log").string()},
          log_{work / "entry.log"}
    {
        open(store_listener_, store_ip);
        for (auto index = std::uint32_t{0}; index < 4; ++index) {
            const auto id = "t" + std::to_string(index);
            auto& added = targets_.emplace_back(std::make_unique<target>(id));
            listeners_.push_back(std::make_unique<caller_listener>(loop_, *added, timers_, names_));
            open(*listeners_.back(), first_target_ip + index);
        }
        write_configuration();
        write_targets();
        write_settings(work / "entry.json");
    }

    /// \returns Everything that broke a bound.
    auto run() -> std::vector<std::string>
    {
        start_entry();
        if (!answered_within(calm_limit)) {
            return {"no answer before the crowd"};
        }
        std::cout << "before the crowd: " << entry_.peak_memory_bytes() << " bytes at its peak, "
                  << entry_.open_descriptors() << " descriptors\n";
        for (auto index = std::size_t{0}; index < does_.members; ++index) {
            members_.push_back(std::make_shared<member>(loop_, timers_, does_, reopens_));
            members_.back()->open();
        }
        for (auto left = crowd_time; left > milliseconds{0}; left -= step) {
            pass();
        }
        reopens_ = false;
        const auto answered = answered_within(answer_limit);
        std::cout << "with the crowd: " << peak_memory_ << " bytes at its peak, bound "
                  << memory_limit_mb * mebibyte << "; " << most_descriptors_
                  << " descriptors, bound " << descriptor_bound_
                  << "; ordinary request answered: " << (answered ? "yes" : "no") << '\n';
        auto faults = std::vector<std::string>{};
        const auto expect = [&](bool good, const std::string& fault) {
            if (!good) {
                faults.push_back(fault);
            }
        };
        expect(entry_.running(), "the daemon ended");
        expect(peak_memory_ <= memory_limit_mb * mebibyte, "memory over its limit");
        expect(most_descriptors_ <= descriptor_bound_, "descriptors over their bound");
        expect(answered, "no answer to an ordinary request");
        expect(logs_lowered_limits() == (does_.max_header_bytes == unservable_header_bytes),
               "the log doesn't tell whether a limit is lowered");
        return faults;
    }

private:
    auto open(caller_listener& listener, std::uint32_t ip) -> void
    {
        auto reason = error{};
        if (!listener.open({ip, port}, reason)) {
            throw std::runtime_error{to_string(reason)};
        }
    }

    /// The daemon takes over this process's limit of descriptors.
    auto start_entry() -> void
    {
        auto own = rlimit{};
        getrlimit(RLIMIT_NOFILE, &own);
        auto lowered = own;
        if (does_.descriptors != 0) {
            lowered.rlim_cur = does_.descriptors;
        }
        // An eighth must be left for targets, the store, peers and readiness.
        descriptor_bound_ = lowered.rlim_cur - lowered.rlim_cur / 8;
        setrlimit(RLIMIT_NOFILE, &lowered);
        entry_.start();
        setrlimit(RLIMIT_NOFILE, &own);
    }

    auto logs_lowered_limits() const -> bool
    {
        auto log = std::ifstream{log_};
        const auto text = std::string{std::istreambuf_iterator<char>{log}, {}};
        return text.find("Limits of callers exceed their memory and are lowered.") !=
               std::string::npos;
    }

    auto write_configuration() -> void
    {
        const auto route =
            nlohmann::json{{"name", "q"},    {"host", "crowd"},           {"prefix", "/q/"},
                           {"service", "s"}, {"routeType", "idempotent"}, {"timeoutMs", 3'000},
                           {"priority", 1},  {"targetLatencyMs", 150},    {"maxAttempts", 2}};
        store_.put(
            "op/config",
            nlohmann::json{
                {"version", 1},
                {"routes", nlohmann::json::array({route})},
                {"services", nlohmann::json::array({{{"name", "s"}, {"maxConnections", 80}}})},
                {"limits", {{"idleTimeoutMs", 15'000}, {"maxHeaderBytes", does_.max_header_bytes}}}}
                .dump());
    }

    auto write_targets() -> void
    {
        sequence_ += 1;
        for (auto index = std::uint32_t{0}; index < targets_.size(); ++index) {
            store_.put(
                "servers/t" + std::to_string(index),
                nlohmann::json{{"service", "s"},
                               {"address", to_string(address{first_target_ip + index, port})},
                               {"zone", "a"},
                               {"version", "v1"},
                               {"slots", 16},
                               {"state", "ready"},
                               {"coldRemainingMs", 0},
                               {"sequence", sequence_},
                               {"born", 1}}
                    .dump());
        }
        constexpr auto heartbeat = milliseconds{1'200};
        timers_.at(timers_.now() + heartbeat, [this] { write_targets(); });
    }

    auto write_settings(const std::filesystem::path& path) const -> void
    {
        const auto at = [](int offset) {
            return to_string(address{entry_ip, static_cast<std::uint16_t>(port + offset)});
        };
        std::ofstream{path} << nlohmann::json{
            {"instance", "i0"},
            {"availability_zone", "a"},
            {"caller_address", at(0)},
            {"readiness_address", at(1)},
            {"directory_address", at(2)},
            {"admin_address", at(3)},
            {"peer_address", at(4)},
            {"seeds", nlohmann::json::array()},
            {"processor_share", 0.25},
            {"cores", 1},
            {"store_address", to_string(address{store_ip, port})},
            {"address_lifetime_ms", 300},
            {"stop_grace_s", 4},
            {"extra_window_s", 10},
            {"extra_ratio", 0.2},
            {"extra_allowance", 200},
            {"memory_limit_mb",
             memory_limit_mb}}.dump();
    }

    auto pass() -> void
    {
        loop_.run_for(step);
        peak_memory_ = std::max(peak_memory_, entry_.peak_memory_bytes());
        most_descriptors_ = std::max(most_descriptors_, entry_.open_descriptors());
    }

    /// Asks on new connections, one at a time, until one request is answered.
    auto answered_within(milliseconds limit) -> bool
    {
        auto answered = false;
        auto asking = false;
        auto client = std::unique_ptr<call_client>{};
        const auto end = timers_.now() + limit;
        while (!answered && timers_.now() < end && entry_.running()) {
            if (!asking) {
                asking = true;
                client = std::make_unique<call_client>(loop_, timers_, address{entry_ip, port});
                client->call("GET /q/x HTTP/1.1\r\nHost: crowd\r\nRequest-Id: o" +
                                 std::to_string(++asked_) + "\r\nDeadline-Ms: 2500\r\n\r\n",
                             call_timeout, [&](const exchange_result& result) {
                                 asking = false;
                                 answered = result.status == exchange_status::answered &&
                                            result.answer.status == status_ok;
                             });
            }
            pass();
        }
        while (asking) { // The answer is told to this call's own variables.
            pass();
        }
        return answered;
    }

    const behaviour& does_;
    boost::asio::io_context loop_{1};
    asio_timer_queue timers_{loop_};
    header_names names_ = platform::interface().headers;
    soak::store_stand_in store_{timers_};
    caller_listener store_listener_;
    std::vector<std::unique_ptr<target>> targets_;
    std::vector<std::unique_ptr<caller_listener>> listeners_;
    soak::entry_process entry_;
    std::filesystem::path log_;
    bool reopens_ = true;
    std::vector<std::shared_ptr<member>> members_;
    std::uint64_t sequence_ = 0;
    std::uint64_t asked_ = 0;
    std::size_t peak_memory_ = 0;
    std::size_t most_descriptors_ = 0;
    std::size_t descriptor_bound_ = 0;
};

} // namespace
} // namespace knapweedchute::crowd

auto main(int argc, char** argv) -> int
{
    using namespace knapweedchute;
    auto app = CLI::App{"A crowd of clients that nobody controls against one entry daemon."};
    auto program = std::string{};
    auto work = std::string{"crowd-work"};
    auto name = std::string{};
    app.add_option("--program", program, "Path of knapweedchute-entryd")->required();
    app.add_option("--work", work, "Folder for settings and the log; kept");
    app.add_option("--case", name, "What the crowd does")
        ->required()
        ->check(CLI::IsMember({"large_chunks", "tiny_chunks", "slow_heads", "slow_readers",
                               "long_headers", "many_headers"}));
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    std::filesystem::create_directories(work);
    const auto does = crowd::behaviour_of(name);
    const auto faults = crowd::world{program, work, does}.run();
    for (const auto& fault : faults) {
        std::cout << "broken: " << fault << '\n';
    }
    std::cout << (faults.empty() ? "holds\n" : "does not hold\n");
    return faults.empty() ? 0 : 1;
}
