#include <knapweedchute/core/log.hpp>
#include <knapweedchute/net/caller_listener.hpp>

#include <algorithm>
#include <utility>

namespace knapweedchute {
namespace {

using boost::asio::ip::tcp;

constexpr auto backlog = 512;
/// Delay after a failed accept, which usually means that no file descriptors are left.
constexpr auto accept_pause = milliseconds{50};
/// One in so many waiting connections is closed at a time: finding them costs a pass over all.
constexpr auto closed_fraction = std::size_t{64};
constexpr auto cleanup_interval = std::size_t{256};
const auto log_line = logger{"listener"};

} // namespace

caller_listener::caller_listener(boost::asio::io_context& loop, request_handler& handler,
                                 timer_queue& timers, const header_names& names,
                                 memory_budget* memory, caller_guard* guard)
    : loop_{&loop}, handler_{&handler}, timers_{&timers}, names_{&names}, memory_{memory},
      guard_{guard}, acceptor_{loop}
{
}

caller_listener::~caller_listener()
{
    for (const auto& session : sessions_) {
        if (const auto alive = session.lock()) {
            alive->close();
        }
    }
}

auto caller_listener::open(const address& where, error& reason) -> bool
{
    const auto endpoint = tcp::endpoint{boost::asio::ip::address_v4{where.ip}, where.port};
    auto failure = boost::system::error_code{};
    const auto step = [&](auto&& work) {
        if (!failure) {
            work();
        }
    };
    step([&] { acceptor_.open(endpoint.protocol(), failure); });
    step([&] { acceptor_.set_option(tcp::acceptor::reuse_address{true}, failure); });
    step([&] { acceptor_.bind(endpoint, failure); });
    step([&] { acceptor_.listen(backlog, failure); });
    if (failure) {
        reason = {error_code::invalid_value, to_string(where), failure.message()};
        return false;
    }
    accept();
    return true;
}

auto caller_listener::accept() -> void
{
    acceptor_.async_accept([this](const auto& failure, tcp::socket socket) {
        if (closing_ && !acceptor_.is_open()) {
            return;
        }
        if (failure) {
            log_line.warning("Connection not accepted.", {{"reason", failure.message()}});
            timers_->at(timers_->now() + accept_pause, [this] { accept(); });
            return;
        }
        start_session(std::move(socket));
        accept();
    });
}

auto caller_listener::start_session(tcp::socket socket) -> void
{
    if (guard_ != nullptr && guard_->full() && !make_room()) {
        guard_->count(caller_end::refused);
        return;
    }
    const auto session = std::make_shared<caller_session>(std::move(socket), *handler_, *timers_,
                                                          *names_, memory_, guard_);
    sessions_.push_back(session);
    remove_ended_sessions();
    if (closing_) {
        session->close_after_answer();
    }
    session->start();
}

auto caller_listener::accept_pending() -> void
{
    auto failure = boost::system::error_code{};
    acceptor_.non_blocking(true, failure);
    while (!failure) {
        auto socket = acceptor_.accept(*loop_, failure);
        if (!failure) {
            start_session(std::move(socket));
        }
    }
}

auto caller_listener::remove_ended_sessions() -> void
{
    if (sessions_.size() % cleanup_interval == 0) {
        std::erase_if(sessions_, [](const auto& session) { return session.expired(); });
    }
}

auto caller_listener::make_room() -> bool
{
    using waiting = std::pair<time_point, std::shared_ptr<caller_session>>;
    auto candidates = std::vector<waiting>{};
    std::erase_if(sessions_, [](const auto& session) { return session.expired(); });
    for (const auto& session : sessions_) {
        const auto alive = session.lock();
        if (const auto since = alive ? alive->waiting_since() : std::nullopt) {
            candidates.emplace_back(*since, alive);
        }
    }
    if (candidates.empty()) {
        return false;
    }
    const auto count = std::max<std::size_t>(candidates.size() / closed_fraction, 1);
    const auto end = candidates.begin() + static_cast<std::ptrdiff_t>(count);
    std::nth_element(
        candidates.begin(), end - 1, candidates.end(),
        [](const waiting& left, const waiting& right) { return left.first < right.first; });
    for (auto oldest = candidates.begin(); oldest != end; ++oldest) {
        guard_->count(caller_end::room);
        oldest->second->close();
    }
    return true;
}

auto caller_listener::close_after_answers() -> void
{
    closing_ = true;
    for (const auto& session : sessions_) {
        if (const auto alive = session.lock()) {
            alive->close_after_answer();
        }
    }
}

auto caller_listener::close_idle() -> void
{
    closing_ = true;
    if (acceptor_.is_open()) {
        accept_pending();
        auto ignored = boost::system::error_code{};
        acceptor_.close(ignored);
        // The sessions accepted last get one turn of the loop to read what has arrived.
        return;
    }
    for (const auto& session : sessions_) {
        if (const auto alive = session.lock()) {
            alive->close_if_idle();
        }
    }
}

auto caller_listener::active_sessions() const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(sessions_.begin(), sessions_.end(), [](const auto& session) {
            const auto alive = session.lock();
            return alive && alive->active();
        }));
}

} // namespace knapweedchute
