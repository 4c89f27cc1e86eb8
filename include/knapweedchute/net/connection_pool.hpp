#pragma once

#include <knapweedchute/net/target_connection.hpp>
#include <knapweedchute/relay/timer_queue.hpp>

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace knapweedchute {

/// \brief Connections of this instance to all targets, within its share of each target's limit.
/// \detail Used by the loop's thread alone.
class connection_pool final : public exchange_port
{
public:
    /// \brief Connections that this instance may hold to a target.
    using share_of = std::function<std::size_t(const target_record&)>;

    connection_pool(boost::asio::io_context& loop, timer_queue& timers, header_names names,
                    share_of share);

    [[nodiscard]] auto has_capacity(const target_record& target) const -> bool override;
    auto send(exchange_order order, listener done) -> exchange_id override;
    auto cancel(exchange_id exchange) -> void override;

    /// \brief Closes connections that have been idle for too long or whose target may not be used.
    auto sweep(const std::function<bool(const target_record&)>& may_use) -> void;

    /// \brief Open connections.
    [[nodiscard]] auto open_connections() const noexcept -> std::size_t;

private:
    struct lane
    {
        std::shared_ptr<const target_record> target;
        std::vector<std::shared_ptr<target_connection>> idle;
        std::size_t open = 0;
    };

    auto release(const std::string& target_id, const std::shared_ptr<target_connection>& which)
        -> void;
    [[nodiscard]] auto take_idle(lane& from, bool proved_alive)
        -> std::shared_ptr<target_connection>;
    [[nodiscard]] auto open_new(lane& to) -> std::shared_ptr<target_connection>;
    auto guard_connect(exchange_id exchange) -> void;

    boost::asio::io_context* loop_;
    timer_queue* timers_;
    header_names names_;
    share_of share_;
    std::unordered_map<std::string, lane> lanes_;
    std::unordered_map<exchange_id, std::weak_ptr<target_connection>> running_;
    exchange_id next_ = 1;
};

} // namespace knapweedchute
