#include "answer_head_checker.hpp"

#include <knapweedchute/runtime/transfer_worker.hpp>

#include <curl/curl.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <set>
#include <unordered_map>
#include <utility>

namespace knapweedchute {
namespace {

constexpr auto max_wait = milliseconds{100};
constexpr auto max_events = std::size_t{128};
constexpr auto max_response_bytes = std::size_t{1'048'576};
constexpr auto max_idle_connection_s = 30L;
constexpr auto max_cached_connections = 65'536L;
constexpr auto max_spare_handles = std::size_t{4'096};

auto initialize_curl() -> void
{
    static auto once = std::once_flag{};
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

struct transfer
{
    transfer_key key = 0;
    CURL* handle = nullptr;
    std::string request_body;
    impl::answer_head_checker head;
    transfer_result result;
    transfer_worker::completion done;
};

auto receive_body(char* data, std::size_t size, std::size_t count, void* user) -> std::size_t
{
    auto& body = static_cast<transfer*>(user)->result.body;
    const auto bytes = size * count;
    if (body.size() + bytes > max_response_bytes) {
        return 0;
    }
    body.append(data, bytes);
    return bytes;
}

auto status_of(CURLcode code, const transfer& ended) -> transfer_status
{
    auto* handle = ended.handle;
    if (code == CURLE_OK) {
        return ended.head.valid() ? transfer_status::answered : transfer_status::broken;
    }
    auto sent_bytes = 0L;
    auto connect_time_us = curl_off_t{0};
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &sent_bytes);
    curl_easy_getinfo(handle, CURLINFO_CONNECT_TIME_T, &connect_time_us);
    if (sent_bytes == 0 && (code == CURLE_COULDNT_CONNECT || connect_time_us == 0)) {
        return transfer_status::not_connected;
    }
    return code == CURLE_OPERATION_TIMEDOUT ? transfer_status::timed_out : transfer_status::broken;
}

} // namespace

class transfer_worker::state
{
public:
    state() : epoll_{epoll_create1(EPOLL_CLOEXEC)}
    {
        initialize_curl();
        multi_ = curl_multi_init();
        headers_ = curl_slist_append(nullptr, "Content-Type: application/json");
        headers_ = curl_slist_append(headers_, "Expect:");
        curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, on_socket);
        curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, on_timer);
        curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, max_cached_connections);
    }

    state(const state&) = delete;
    auto operator=(const state&) -> state& = delete;

    ~state()
    {
        for (auto& [key, item] : transfers_) {
            curl_multi_remove_handle(multi_, item->handle);
            curl_easy_cleanup(item->handle);
        }
        for (auto* handle : spare_handles_) {
            curl_easy_cleanup(handle);
        }
        curl_multi_cleanup(multi_);
        curl_slist_free_all(headers_);
        close(epoll_);
    }

    auto start(const transfer_request& request, completion done) -> transfer_key
    {
        auto item = std::make_unique<transfer>();
        item->key = next_key_++;
        item->handle = acquire_handle();
        item->request_body = request.body;
        item->done = std::move(done);
        set_options(*item, request);
        curl_multi_add_handle(multi_, item->handle);
        const auto key = item->key;
        transfers_.emplace(key, std::move(item));
        return key;
    }

    auto cancel(transfer_key key) -> void
    {
        const auto found = transfers_.find(key);
        if (found == transfers_.end()) {
            return;
        }
        curl_multi_remove_handle(multi_, found->second->handle);
        release_handle(found->second->handle);
        transfers_.erase(found);
    }

    auto wait_and_process(int wake_fd, duration limit) -> void
    {
        auto events = std::array<epoll_event, max_events>{};
        const auto wait = std::min<duration>(limit, time_until_timer());
        const auto rounded = std::chrono::ceil<milliseconds>(std::max(wait, duration::zero()));
        const auto count = epoll_wait(epoll_, events.data(), static_cast<int>(events.size()),
                                      static_cast<int>(rounded.count()));
        for (auto index = 0; index < count; ++index) {
            const auto& event = events.at(static_cast<std::size_t>(index));
            if (event.data.fd == wake_fd) {
                auto value = std::uint64_t{0};
                static_cast<void>(!read(wake_fd, &value, sizeof(value)));
                continue;
            }
            auto flags = 0;
            flags |= (event.events & EPOLLIN) != 0U ? CURL_CSELECT_IN : 0;
            flags |= (event.events & EPOLLOUT) != 0U ? CURL_CSELECT_OUT : 0;
            flags |= (event.events & (EPOLLERR | EPOLLHUP)) != 0U ? CURL_CSELECT_ERR : 0;
            curl_multi_socket_action(multi_, event.data.fd, flags, &running_transfers_);
        }
        if (timer_ && steady_clock::now() >= *timer_) {
            timer_.reset();
            curl_multi_socket_action(multi_, CURL_SOCKET_TIMEOUT, 0, &running_transfers_);
        }
        complete_transfers();
    }

    [[nodiscard]] auto epoll() const noexcept -> int { return epoll_; }

private:
    static auto on_socket(CURL* /*easy*/, curl_socket_t socket, int action, void* user,
                          void* socket_data) -> int
    {
        auto* self = static_cast<state*>(user);
        auto event = epoll_event{};
        event.data.fd = socket;
        event.events = (action & CURL_POLL_IN) != 0 ? EPOLLIN : 0U;
        event.events |= (action & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U;
        if (action == CURL_POLL_REMOVE) {
            self->unwatch(socket);
            return 0;
        }
        const auto operation = socket_data == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
        if (epoll_ctl(self->epoll_, operation, socket, &event) != 0) {
            epoll_ctl(self->epoll_, EPOLL_CTL_MOD, socket, &event);
        }
        self->watched_.insert(socket);
        curl_multi_assign(self->multi_, socket, self);
        return 0;
    }

    /// \brief Removes the socket from the epoll set before it is closed.
    /// \detail libcurl reports the removal only after closing the socket; by then another thread
    ///         may have reused the descriptor number.
    static auto on_close(void* user, curl_socket_t socket) -> int
    {
        static_cast<state*>(user)->unwatch(socket);
        return close(socket);
    }

    auto unwatch(curl_socket_t socket) -> void
    {
        if (watched_.erase(socket) > 0) {
            epoll_ctl(epoll_, EPOLL_CTL_DEL, socket, nullptr);
        }
    }

    static auto on_timer(CURLM* /*multi*/, long timeout_ms, void* user) -> int
    {
        auto* self = static_cast<state*>(user);
        self->timer_ = timeout_ms < 0
                           ? std::nullopt
                           : std::optional{steady_clock::now() + milliseconds{timeout_ms}};
        return 0;
    }

    [[nodiscard]] auto time_until_timer() const -> duration
    {
        return timer_ ? *timer_ - steady_clock::now() : duration{max_wait};
    }

    auto acquire_handle() -> CURL*
    {
        if (spare_handles_.empty()) {
            return make_handle();
        }
        auto* handle = spare_handles_.back();
        spare_handles_.pop_back();
        return handle;
    }

    /// \brief Creates a handle with the options that all transfers share.
    auto make_handle() -> CURL*
    {
        auto* handle = curl_easy_init();
        curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers_);
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, receive_body);
        curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, max_idle_connection_s);
        curl_easy_setopt(handle, CURLOPT_CLOSESOCKETFUNCTION, on_close);
        curl_easy_setopt(handle, CURLOPT_CLOSESOCKETDATA, this);
        return handle;
    }

    auto release_handle(CURL* handle) -> void
    {
        if (spare_handles_.size() >= max_spare_handles) {
            curl_easy_cleanup(handle);
            return;
        }
        spare_handles_.push_back(handle);
    }

    auto set_options(transfer& item, const transfer_request& request) -> void
    {
        auto* handle = item.handle;
        const auto url = "http://" + to_string(request.target) + request.path;
        curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
        curl_easy_setopt(handle, CURLOPT_PRIVATE, &item);
        curl_easy_setopt(handle, CURLOPT_WRITEDATA, &item);
        item.head.attach(handle);
        const auto timeout = std::max<std::int64_t>(request.timeout.count(), 1);
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout));
        if (item.request_body.empty()) {
            curl_easy_setopt(handle, CURLOPT_HTTPGET, 1L);
        } else {
            curl_easy_setopt(handle, CURLOPT_POST, 1L);
            curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE,
                             static_cast<long>(item.request_body.size()));
            curl_easy_setopt(handle, CURLOPT_POSTFIELDS, item.request_body.data());
        }
        curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, request.force_new_connection ? 1L : 0L);
        curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, request.close_afterwards ? 1L : 0L);
    }

    auto complete_transfers() -> void
    {
        auto remaining = 0;
        while (auto* message = curl_multi_info_read(multi_, &remaining)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            auto* handle = message->easy_handle;
            const auto code = message->data.result;
            auto* item = static_cast<transfer*>(nullptr);
            curl_easy_getinfo(handle, CURLINFO_PRIVATE, &item);
            auto connects = 0L;
            curl_easy_getinfo(handle, CURLINFO_NUM_CONNECTS, &connects);
            curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &item->result.http_status);
            item->result.status = status_of(code, *item);
            item->result.reused_connection = connects == 0;
            curl_multi_remove_handle(multi_, handle);
            release_handle(handle);
            const auto found = transfers_.find(item->key);
            const auto finished = std::move(found->second);
            transfers_.erase(found);
            finished->done(std::move(finished->result));
        }
    }

    int epoll_;
    std::set<curl_socket_t> watched_; ///< Sockets registered with epoll.
    CURLM* multi_ = nullptr;
    curl_slist* headers_ = nullptr;
    int running_transfers_ = 0;
    std::optional<time_point> timer_;
    transfer_key next_key_ = 1;
    std::unordered_map<transfer_key, std::unique_ptr<transfer>> transfers_;
    std::vector<CURL*> spare_handles_;
};

transfer_worker::transfer_worker(tick_function tick)
    : tick_{std::move(tick)}, state_{std::make_unique<state>()}, wake_fd_{eventfd(
                                                                     0, EFD_NONBLOCK | EFD_CLOEXEC)}
{
    auto event = epoll_event{};
    event.events = EPOLLIN;
    event.data.fd = wake_fd_;
    epoll_ctl(state_->epoll(), EPOLL_CTL_ADD, wake_fd_, &event);
    thread_ = std::thread{[this] { run(); }};
}

transfer_worker::~transfer_worker()
{
    post([this] { stopping_ = true; });
    thread_.join();
    state_.reset();
    close(wake_fd_);
}

auto transfer_worker::post(task work) -> void
{
    {
        const auto lock = std::lock_guard{tasks_mutex_};
        tasks_.push_back(std::move(work));
    }
    const auto increment = std::uint64_t{1};
    static_cast<void>(!write(wake_fd_, &increment, sizeof(increment)));
}

auto transfer_worker::start(const transfer_request& request, completion done) -> transfer_key
{
    return state_->start(request, std::move(done));
}

auto transfer_worker::cancel(transfer_key key) -> void
{
    state_->cancel(key);
}

auto transfer_worker::run() -> void
{
    while (!stopping_) {
        auto tasks = std::vector<task>{};
        {
            const auto lock = std::lock_guard{tasks_mutex_};
            tasks.swap(tasks_);
        }
        for (const auto& work : tasks) {
            work();
        }
        const auto now = steady_clock::now();
        const auto next = tick_(now);
        const auto limit = next ? std::min<duration>(*next - now, max_wait) : duration{max_wait};
        state_->wait_and_process(wake_fd_, limit);
    }
}

} // namespace knapweedchute
