#include <knapweedchute/runtime/http_server.hpp>
#include <knapweedchute/runtime/socket_address.hpp>

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <string_view>
#include <thread>
#include <utility>

namespace knapweedchute {
namespace {

constexpr auto connection_memory_bytes = std::size_t{32'768};
constexpr auto max_header_bytes = std::size_t{8'192};
constexpr auto idle_timeout_s = 60U;
constexpr auto max_connections = 20'000U;
constexpr auto drain_poll_interval = std::chrono::milliseconds{2};

struct pending_call
{
    http_call call;
    http_reply reply;
    std::atomic<bool> answered{false};
    std::size_t header_bytes = 0;
    std::atomic<std::size_t>* in_progress = nullptr;
};

auto collect_argument(void* user, MHD_ValueKind /*kind*/, const char* key, const char* value)
    -> MHD_Result
{
    (*static_cast<std::map<std::string, std::string>*>(user))[key] = value == nullptr ? "" : value;
    return MHD_YES;
}

auto measure_header(void* user, MHD_ValueKind /*kind*/, const char* key, const char* value)
    -> MHD_Result
{
    auto& bytes = *static_cast<std::size_t*>(user);
    bytes += std::string_view{key}.size();
    bytes += value == nullptr ? 0 : std::string_view{value}.size();
    return MHD_YES;
}

auto queue_reply(MHD_Connection* connection, const http_reply& reply) -> MHD_Result
{
    auto* response = MHD_create_response_from_buffer(
        reply.body.size(), const_cast<char*>(reply.body.data()), MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, reply.content_type.c_str());
    if (reply.close) {
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    const auto result = MHD_queue_response(connection, reply.status, response);
    MHD_destroy_response(response);
    return result;
}

} // namespace

class http_server::state
{
public:
    state(const address& listen_address, http_server_options options, handler handle,
          fault_handler refuse)
        : options_{options}, handle_{std::move(handle)}, refuse_{std::move(refuse)}
    {
        const auto socket_address = impl::socket_address(listen_address);
        daemon_ = MHD_start_daemon(
            MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC,
            listen_address.port, nullptr, nullptr, &state::on_request, this, MHD_OPTION_SOCK_ADDR,
            &socket_address, MHD_OPTION_NOTIFY_COMPLETED, &state::on_completed, this,
            MHD_OPTION_THREAD_POOL_SIZE, options_.threads > 1 ? options_.threads : 0U,
            MHD_OPTION_CONNECTION_MEMORY_LIMIT, connection_memory_bytes,
            MHD_OPTION_CONNECTION_LIMIT, max_connections, MHD_OPTION_CONNECTION_TIMEOUT,
            idle_timeout_s, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
    }

    state(const state&) = delete;
    auto operator=(const state&) -> state& = delete;

    ~state()
    {
        stop_listening();
        while (in_progress_ > 0) {
            std::this_thread::sleep_for(drain_poll_interval);
        }
        if (daemon_ != nullptr) {
            MHD_stop_daemon(daemon_);
        }
    }

    [[nodiscard]] auto listening() const noexcept -> bool { return daemon_ != nullptr; }

    auto stop_listening() -> void
    {
        if (daemon_ == nullptr || quiesced_.exchange(true)) {
            return;
        }
        const auto socket = MHD_quiesce_daemon(daemon_);
        if (socket != MHD_INVALID_SOCKET) {
            close(socket);
        }
    }

    [[nodiscard]] auto calls_in_progress() const noexcept -> std::size_t { return in_progress_; }

private:
    static auto on_request(void* self, MHD_Connection* connection, const char* url,
                           const char* method, const char* /*version*/, const char* upload,
                           std::size_t* upload_size, void** context) -> MHD_Result
    {
        return static_cast<state*>(self)->serve(connection, url, method, upload, upload_size,
                                                context);
    }

    static auto on_completed(void* /*self*/, MHD_Connection* /*connection*/, void** context,
                             MHD_RequestTerminationCode /*code*/) -> void
    {
        auto* owner = static_cast<std::shared_ptr<pending_call>*>(*context);
        if (owner != nullptr) {
            (*owner)->in_progress->fetch_sub(1);
            delete owner;
        }
        *context = nullptr;
    }

    auto serve(MHD_Connection* connection, const char* url, const char* method, const char* upload,
               std::size_t* upload_size, void** context) -> MHD_Result
    {
        if (*context == nullptr) {
            *context = new std::shared_ptr<pending_call>{begin_call(connection, url, method)};
            return MHD_YES;
        }
        auto& pending = *static_cast<std::shared_ptr<pending_call>*>(*context);
        if (*upload_size > 0) {
            append_body(*pending, upload, *upload_size);
            *upload_size = 0;
            return MHD_YES;
        }
        if (pending->answered) {
            return queue_reply(connection, pending->reply);
        }
        if (pending->header_bytes > max_header_bytes ||
            pending->call.body.size() > options_.max_body_bytes) {
            const auto headers_too_large = pending->header_bytes > max_header_bytes;
            return queue_reply(
                connection, refuse_({error_code::too_large, headers_too_large ? "headers" : "body",
                                     "longer than the limit"}));
        }
        dispatch(connection, pending);
        return MHD_YES;
    }

    auto begin_call(MHD_Connection* connection, const char* url, const char* method)
        -> std::shared_ptr<pending_call>
    {
        auto pending = std::make_shared<pending_call>();
        in_progress_ += 1;
        pending->in_progress = &in_progress_;
        pending->call.method = method;
        pending->call.path = url;
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, collect_argument,
                                  &pending->call.arguments);
        MHD_get_connection_values(connection, MHD_HEADER_KIND, measure_header,
                                  &pending->header_bytes);
        const auto* key =
            MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "X-Operator-Key");
        pending->call.operator_key = key == nullptr ? "" : key;
        return pending;
    }

    auto append_body(pending_call& pending, const char* upload, std::size_t size) const -> void
    {
        // Stores at most one byte beyond the limit, which is enough to detect an oversized body.
        const auto remaining_bytes = options_.max_body_bytes + 1 - pending.call.body.size();
        pending.call.body.append(upload, std::min(size, remaining_bytes));
    }

    auto dispatch(MHD_Connection* connection, const std::shared_ptr<pending_call>& pending) -> void
    {
        MHD_suspend_connection(connection);
        // Keeps the call alive until the handler returns: the reply may be sent, and the request
        // completed on another thread, before that.
        auto owner = pending;
        handle_(owner->call, [owner, connection](http_reply reply) {
            owner->reply = std::move(reply);
            owner->answered = true;
            MHD_resume_connection(connection);
        });
        owner.reset();
    }

    http_server_options options_;
    handler handle_;
    fault_handler refuse_;
    std::atomic<std::size_t> in_progress_{0};
    std::atomic<bool> quiesced_{false};
    MHD_Daemon* daemon_ = nullptr;
};

http_server::http_server(const address& listen_address, http_server_options options, handler handle,
                         fault_handler refuse)
    : state_{std::make_unique<state>(listen_address, options, std::move(handle), std::move(refuse))}
{
}

http_server::~http_server() = default;

auto http_server::listening() const noexcept -> bool
{
    return state_->listening();
}

auto http_server::stop_listening() -> void
{
    state_->stop_listening();
}

auto http_server::calls_in_progress() const noexcept -> std::size_t
{
    return state_->calls_in_progress();
}

} // namespace knapweedchute
