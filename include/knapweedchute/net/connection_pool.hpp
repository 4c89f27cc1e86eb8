#pragma once

#include <knapweedchute/net/target_connection.hpp>
#include <knapweedchute/relay/timer_queue.hpp>

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace knapweedchute {

/// \brief Pools the connections to all targets within this instance's share of each target's limit.
/// \detail Not thread-safe: used only by the thread that runs the loop.
class connection_pool final : public exchange_port
{
public:
    /// \brief Returns the number of connections that this instance may open to a target.
    using share_function = std::function<std::size_t(const target_record&)>;

    /// \param memory Budget of the answers being received.
    connection_pool(boost::asio::io_context& loop, timer_queue& timers, header_names names,
                    share_function share, memory_budget& memory);

    [[nodiscard]] auto has_capacity(const target_record& target) const -> bool override;
    auto send(exchange_order order, listener done) -> exchange_id override;
    auto cancel(exchange_id exchange) -> void override;

    /// \brief Closes connections that were idle for too long or whose target may not be used.
    auto sweep(const std::function<bool(const target_record&)>& may_use) -> void;

    /// \brief Returns the number of open connections to all targets.
    [[nodiscard]] auto open_connections() const noexcept -> std::size_t;

private:
    struct target_pool
    {
        std::shared_ptr<const target_record> target;
        std::vector<std::shared_ptr<target_connection>> idle;
        std::size_t open = 0;
    };

    auto release(const std::string& target_id, const std::shared_ptr<target_connection>& connection)
        -> void;
    [[nodiscard]] auto take_idle_connection(target_pool& from, bool proved_alive)
        -> std::shared_ptr<target_connection>;
    [[nodiscard]] auto open_connection(target_pool& to) -> std::shared_ptr<target_connection>;
    auto limit_connect_time(exchange_id exchange) -> void;

    boost::asio::io_context* loop_;
    timer_queue* timers_;
    header_names names_;
    share_function share_;
    memory_budget* memory_;
    std::unordered_map<std::string, target_pool> pools_;
    std::unordered_map<exchange_id, std::weak_ptr<target_connection>> running_;
    exchange_id next_ = 1;
};

} // namespace knapweedchute
