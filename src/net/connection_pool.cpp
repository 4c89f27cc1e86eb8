#include <knapweedchute/net/connection_pool.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace knapweedchute {
namespace {

/// Time limit of a connection attempt; TCP retransmits a lost SYN after one second.
constexpr auto connect_timeout = milliseconds{1'000};
/// Requests that must not run twice reuse only connections idle for less than this.
constexpr auto proved_alive_period = milliseconds{400};
/// Closes an idle connection this long before the target would close it.
constexpr auto idle_margin = milliseconds{700};
/// Idle time allowed when the target states no limit.
constexpr auto max_idle_time = seconds{20};

auto idle_limit(const target_connection& connection) -> duration
{
    const auto stated = connection.idle_limit();
    return stated ? duration{*stated} - idle_margin : duration{max_idle_time};
}

} // namespace

connection_pool::connection_pool(boost::asio::io_context& loop, timer_queue& timers,
                                 header_names names, share_function share, memory_budget& memory)
    : loop_{&loop}, timers_{&timers}, names_{std::move(names)}, share_{std::move(share)},
      memory_{&memory}
{
}

auto connection_pool::has_capacity(const target_record& target) const -> bool
{
    const auto found = pools_.find(target.id);
    return found == pools_.end() || !found->second.idle.empty() ||
           found->second.open < share_(target);
}

auto connection_pool::send(exchange_order order, listener done) -> exchange_id
{
    const auto id = next_++;
    auto& to = pools_[order.target->id];
    to.target = order.target;
    auto connection = take_idle_connection(to, !order.repeatable);
    const auto ended = [this, id, done = std::move(done)](exchange_result result) {
        running_.erase(id);
        done(std::move(result));
    };
    if (connection) {
        running_.emplace(id, connection);
        connection->exchange(std::move(order), ended);
        return id;
    }
    connection = open_connection(to);
    running_.emplace(id, connection);
    const auto where = order.target->target_address;
    connection->open(where, std::move(order), ended);
    limit_connect_time(id);
    return id;
}

auto connection_pool::cancel(exchange_id exchange) -> void
{
    const auto found = running_.find(exchange);
    if (found == running_.end()) {
        return;
    }
    boost::asio::post(*loop_, [weak = found->second] {
        if (const auto alive = weak.lock()) {
            alive->close(exchange_status::unknown);
        }
    });
    running_.erase(found);
}

auto connection_pool::sweep(const std::function<bool(const target_record&)>& may_use) -> void
{
    const auto now = timers_->now();
    auto to_close = std::vector<std::shared_ptr<target_connection>>{};
    for (const auto& [id, pool] : pools_) {
        const auto usable = may_use(*pool.target);
        for (const auto& idle : pool.idle) {
            if (!usable || now - idle->idle_since() >= idle_limit(*idle)) {
                to_close.push_back(idle);
            }
        }
    }
    for (const auto& connection : to_close) {
        connection->close();
    }
    std::erase_if(pools_, [](const auto& item) { return item.second.open == 0; });
}

auto connection_pool::open_connections() const noexcept -> std::size_t
{
    auto total = std::size_t{0};
    for (const auto& [id, pool] : pools_) {
        total += pool.open;
    }
    return total;
}

auto connection_pool::release(const std::string& target_id,
                              const std::shared_ptr<target_connection>& connection) -> void
{
    const auto found = pools_.find(target_id);
    if (found == pools_.end()) {
        return;
    }
    if (connection->closed()) {
        std::erase(found->second.idle, connection);
        found->second.open -= 1;
        return;
    }
    found->second.idle.push_back(connection);
}

auto connection_pool::take_idle_connection(target_pool& from, bool proved_alive)
    -> std::shared_ptr<target_connection>
{
    const auto now = timers_->now();
    while (!from.idle.empty()) {
        auto newest = from.idle.back();
        const auto age = now - newest->idle_since();
        const auto fits = age < idle_limit(*newest) && (!proved_alive || age < proved_alive_period);
        if (fits) {
            from.idle.pop_back();
            return newest;
        }
        newest->close();
    }
    return nullptr;
}

auto connection_pool::open_connection(target_pool& to) -> std::shared_ptr<target_connection>
{
    to.open += 1;
    return std::make_shared<target_connection>(
        *loop_, names_,
        [this, id = to.target->id](const auto& connection) { release(id, connection); }, memory_);
}

auto connection_pool::limit_connect_time(exchange_id exchange) -> void
{
    timers_->at(timers_->now() + connect_timeout, [this, exchange] {
        const auto found = running_.find(exchange);
        const auto alive = found == running_.end() ? nullptr : found->second.lock();
        if (alive && !alive->connected()) {
            alive->close(exchange_status::not_run);
        }
    });
}

} // namespace knapweedchute
