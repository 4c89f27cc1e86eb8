#pragma once

#include <knapweedchute/core/counter_set.hpp>
#include <knapweedchute/entry/cluster_view.hpp>
#include <knapweedchute/entry/entry_interface.hpp>
#include <knapweedchute/entry/entry_settings.hpp>
#include <knapweedchute/entry/fixed_handler.hpp>
#include <knapweedchute/entry/relay_handler.hpp>
#include <knapweedchute/entry/rollout_driver.hpp>
#include <knapweedchute/feed/feed_handler.hpp>
#include <knapweedchute/feed/feed_subscriber.hpp>
#include <knapweedchute/feed/peer_feed_source.hpp>
#include <knapweedchute/membership/address_selector.hpp>
#include <knapweedchute/membership/ownership.hpp>
#include <knapweedchute/net/asio_timer_queue.hpp>
#include <knapweedchute/net/caller_listener.hpp>
#include <knapweedchute/net/connection_pool.hpp>
#include <knapweedchute/net/peer_port.hpp>
#include <knapweedchute/relay/relay_coordinator.hpp>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief One entry process: relays callers' requests to targets.
/// \detail One event loop: the machines give a process one thread at a time, and each hand-over
///         between threads costs two wake-ups.
class entry_instance
{
public:
    /// \param incarnation Number of this start, higher than at any earlier one.
    entry_instance(const entry_settings& values, entry_interface names, std::uint64_t incarnation);

    /// \brief Opens the addresses.
    [[nodiscard]] auto start(error& reason) -> bool;

    /// \brief Starts to follow the keys of the platform's store.
    /// \param store        The store.
    /// \param listener     Told what the keys hold.
    /// \param fresh_prefix Keys of which no old state will do.
    auto follow(feed_source& store, feed_listener& listener, std::string fresh_prefix) -> void;

    /// \brief Starts to carry out ordered moves between versions.
    /// \param writer Stores their records.
    auto carry_out_moves(record_writer& writer) -> void { move_driver_.start(writer); }

    /// \brief Takes changed settings over.
    /// \returns Names of the changed ones that wait for a new start: addresses and identity.
    auto apply(const entry_settings& values) -> std::vector<std::string>;

    /// \brief Serves until `stop` has come to its end.
    auto run() -> void { loop_.run(); }

    /// \brief Stops gracefully: not ready at once, serves until callers have let go.
    auto stop() -> void;

    [[nodiscard]] auto loop() noexcept -> boost::asio::io_context& { return loop_; }
    [[nodiscard]] auto timers() noexcept -> timer_queue& { return timers_; }
    [[nodiscard]] auto counters() noexcept -> counter_set& { return counters_; }
    [[nodiscard]] auto view() noexcept -> cluster_view& { return view_; }
    [[nodiscard]] auto peers() noexcept -> peer_port& { return peers_; }

private:
    auto keep_house() -> void;
    auto count_members() -> void;
    auto note_lag(time_point due) -> void;
    auto finish_stop(time_point last) -> void;
    [[nodiscard]] auto peer_feed(const member& peer) -> feed_source&;
    [[nodiscard]] auto sharers() const -> std::size_t;
    [[nodiscard]] auto connection_share(const target_record& target) const -> std::size_t;
    [[nodiscard]] auto cold_share(const target_record& target) const -> std::optional<double>;
    [[nodiscard]] auto answer_readiness() const -> relayed_answer;
    [[nodiscard]] auto answer_addresses() -> relayed_answer;
    [[nodiscard]] auto answer_metrics() const -> relayed_answer;
    [[nodiscard]] auto answer_state() const -> relayed_answer;

    entry_settings settings_;
    entry_interface names_;
    counter_set counters_;
    boost::asio::io_context loop_{1};
    asio_timer_queue timers_{loop_};
    cluster_view view_;
    peer_port peers_;
    rollout_driver move_driver_;
    extra_request_window extras_;
    cold_limiter cold_;
    connection_pool pool_;
    relay_coordinator coordinator_;
    address_selector choice_;
    relay_handler relay_;
    fixed_handler readiness_;
    fixed_handler directory_;
    fixed_handler admin_;
    caller_listener callers_;
    caller_listener readiness_listener_;
    caller_listener directory_listener_;
    caller_listener admin_listener_;
    feed_handler feed_;
    fixed_handler peer_pages_;
    caller_listener feed_listener_;
    std::map<address, std::unique_ptr<peer_feed_source>> peer_feeds_;
    std::optional<feed_subscriber> keeper_;
    std::size_t instances_ = 1;
    ownership owners_{{}}; ///< Among all that may live, also those believed dead.
    std::size_t preferred_ = 0;
    bool is_preferred_ = false;
    time_point instances_noted_;
    duration longest_lag_{0}; ///< Of the loop, lately.
    bool stopping_ = false;
};

} // namespace knapweedchute
