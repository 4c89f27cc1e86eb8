#include <knapweedchute/net/connection_pool.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace knapweedchute {
namespace {

/// Time for a new connection: one lost opening packet is sent again after a second.
constexpr auto connect_timeout = milliseconds{1'000};
/// Idle time within which a connection is taken to be alive for what must not run twice.
constexpr auto proved_alive_for = milliseconds{400};
/// Closed so long before the target would close it.
constexpr auto idle_margin = milliseconds{700};
/// Idle time of a connection whose target states none.
constexpr auto longest_idle = seconds{20};

auto idle_limit(const target_connection& which) -> duration
{
    const auto stated = which.idle_limit();
    return stated ? duration{*stated} - idle_margin : duration{longest_idle};
}

} // namespace

connection_pool::connection_pool(boost::asio::io_context& loop, timer_queue& timers,
                                 header_names names, share_of share)
    : loop_{&loop}, timers_{&timers}, names_{std::move(names)}, share_{std::move(share)}
{
}

auto connection_pool::has_capacity(const target_record& target) const -> bool
{
    const auto known = lanes_.find(target.id);
    return known == lanes_.end() || !known->second.idle.empty() ||
           known->second.open < share_(target);
}

auto connection_pool::send(exchange_order order, listener done) -> exchange_id
{
    const auto id = next_++;
    auto& to = lanes_[order.target->id];
    to.target = order.target;
    auto used = take_idle(to, !order.repeatable);
    const auto ended = [this, id, done = std::move(done)](exchange_result result) {
        running_.erase(id);
        done(std::move(result));
    };
    if (used) {
        running_.emplace(id, used);
        used->exchange(std::move(order), ended);
        return id;
    }
    used = open_new(to);
    running_.emplace(id, used);
    const auto where = order.target->target_address;
    used->open(where, std::move(order), ended);
    guard_connect(id);
    return id;
}

auto connection_pool::cancel(exchange_id exchange) -> void
{
    const auto known = running_.find(exchange);
    if (known == running_.end()) {
        return;
    }
    boost::asio::post(*loop_, [weak = known->second] {
        if (const auto alive = weak.lock()) {
            alive->close(exchange_status::unknown);
        }
    });
    running_.erase(known);
}

auto connection_pool::sweep(const std::function<bool(const target_record&)>& may_use) -> void
{
    const auto now = timers_->now();
    auto old = std::vector<std::shared_ptr<target_connection>>{};
    for (const auto& [id, known] : lanes_) {
        const auto usable = may_use(*known.target);
        for (const auto& idle : known.idle) {
            if (!usable || now - idle->idle_since() >= idle_limit(*idle)) {
                old.push_back(idle);
            }
        }
    }
    for (const auto& connection : old) {
        connection->close();
    }
    std::erase_if(lanes_, [](const auto& item) { return item.second.open == 0; });
}

auto connection_pool::open_connections() const noexcept -> std::size_t
{
    auto total = std::size_t{0};
    for (const auto& [id, known] : lanes_) {
        total += known.open;
    }
    return total;
}

auto connection_pool::release(const std::string& target_id,
                              const std::shared_ptr<target_connection>& which) -> void
{
    const auto known = lanes_.find(target_id);
    if (known == lanes_.end()) {
        return;
    }
    if (which->closed()) {
        std::erase(known->second.idle, which);
        known->second.open -= 1;
        return;
    }
    known->second.idle.push_back(which);
}

auto connection_pool::take_idle(lane& from, bool proved_alive) -> std::shared_ptr<target_connection>
{
    const auto now = timers_->now();
    while (!from.idle.empty()) {
        auto newest = from.idle.back();
        const auto age = now - newest->idle_since();
        const auto fits = age < idle_limit(*newest) && (!proved_alive || age < proved_alive_for);
        if (fits) {
            from.idle.pop_back();
            return newest;
        }
        newest->close();
    }
    return nullptr;
}

auto connection_pool::open_new(lane& to) -> std::shared_ptr<target_connection>
{
    to.open += 1;
    return std::make_shared<target_connection>(
        *loop_, names_, [this, id = to.target->id](const auto& which) { release(id, which); });
}

auto connection_pool::guard_connect(exchange_id exchange) -> void
{
    timers_->at(timers_->now() + connect_timeout, [this, exchange] {
        const auto known = running_.find(exchange);
        const auto alive = known == running_.end() ? nullptr : known->second.lock();
        if (alive && !alive->connected()) {
            alive->close(exchange_status::not_run);
        }
    });
}

} // namespace knapweedchute
