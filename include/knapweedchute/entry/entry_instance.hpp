#pragma once

#include <knapweedchute/core/counter_set.hpp>
#include <knapweedchute/core/memory_budget.hpp>
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
#include <knapweedchute/membership/configuration_lag.hpp>
#include <knapweedchute/membership/ownership.hpp>
#include <knapweedchute/membership/renewed_knowledge.hpp>
#include <knapweedchute/net/asio_timer_queue.hpp>
#include <knapweedchute/net/caller_listener.hpp>
#include <knapweedchute/net/connection_pool.hpp>
#include <knapweedchute/net/peer_port.hpp>
#include <knapweedchute/relay/relay_coordinator.hpp>
#include <knapweedchute/sharing/demand_share.hpp>
#include <knapweedchute/usage/usage_driver.hpp>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief One entry process: relays callers' requests to targets.
/// \detail Runs a single event loop on one thread: a process gets one thread at a time on the
///         machines, and each transfer of work between threads costs two wake-ups.
class entry_instance
{
public:
    /// \param values      Settings at start.
    /// \param interface   Header names, paths and encodings of the installation.
    /// \param incarnation Number of this start, higher than that of any earlier start.
    entry_instance(const entry_settings& values, entry_interface interface,
                   std::uint64_t incarnation);

    /// \brief Opens all listening addresses and starts the periodic maintenance.
    /// \param reason Filled when an address cannot be opened.
    /// \returns Whether all addresses are open.
    [[nodiscard]] auto start(error& reason) -> bool;

    /// \brief Starts to follow the keys of the platform's store, directly or through a peer.
    /// \param store        The store.
    /// \param listener     Receives the values of the keys and their changes.
    /// \param fresh_prefix Prefix of the keys for which stale reads are not acceptable.
    auto follow(feed_source& store, feed_listener& listener, std::string fresh_prefix) -> void;

    /// \brief Starts to carry out the rollouts that operators order.
    /// \param writer Stores the records of rollouts.
    auto start_rollouts(record_writer& writer) -> void { rollout_driver_.start(writer); }

    /// \brief Applies changed settings.
    /// \returns Names of the changed settings that take effect only at the next start: addresses,
    ///          identity and processor share.
    auto apply(const entry_settings& values) -> std::vector<std::string>;

    /// \brief Runs the event loop until the stop begun by `stop` is complete.
    auto run() -> void { loop_.run(); }

    /// \brief Begins a graceful stop.
    /// \detail The readiness check fails at once. Requests are served until cached address answers
    ///         have expired and none is in progress, at most until shortly before the grace period
    ///         ends.
    auto stop() -> void;

    [[nodiscard]] auto loop() noexcept -> boost::asio::io_context& { return loop_; }
    [[nodiscard]] auto timers() noexcept -> timer_queue& { return timers_; }
    [[nodiscard]] auto counters() noexcept -> counter_set& { return counters_; }
    [[nodiscard]] auto view() noexcept -> cluster_view& { return view_; }
    /// \brief Returns the reports of usage, or null if none are due.
    [[nodiscard]] auto usage() noexcept -> usage_driver* { return usage_.get(); }
    [[nodiscard]] auto peers() noexcept -> peer_port& { return peers_; }

private:
    auto run_maintenance() -> void;
    auto update_member_counts() -> void;
    auto record_loop_lag(time_point due) -> void;
    auto log_evictions() -> void;
    auto log_callers_ended() -> void;
    auto log_lowered_limits() -> void;
    auto log_proof() -> void;
    auto log_room(double borrowed) -> void;
    auto listen_for_room() -> void;
    auto exchange_room(const std::vector<member>& members) -> void;
    [[nodiscard]] auto shared_fraction() const -> double;
    auto record_peer_configuration(const std::string& peer, std::uint64_t version) -> void;
    [[nodiscard]] auto configuration_version() const -> std::uint64_t;
    auto finish_stop(time_point deadline) -> void;
    auto end_loop(time_point limit) -> void;
    [[nodiscard]] auto peer_feed(const member& peer) -> feed_source&;
    [[nodiscard]] auto limit_share() const -> double;
    [[nodiscard]] auto connection_share(const target_record& target) const -> std::size_t;
    [[nodiscard]] auto cold_share(const target_record& target) const -> std::optional<double>;
    [[nodiscard]] auto answer_readiness() const -> relayed_answer;
    [[nodiscard]] auto answer_addresses() -> relayed_answer;
    [[nodiscard]] auto answer_metrics() const -> relayed_answer;
    [[nodiscard]] auto answer_counts(const relayed_request& request) -> relayed_answer;
    [[nodiscard]] auto answer_state() const -> relayed_answer;

    entry_settings settings_;
    entry_interface interface_;
    counter_set counters_;
    memory_budget answer_memory_; ///< Outlives the loop, whose handlers hold reservations.
    caller_guard caller_guard_;   ///< Outlives the loop, too.
    boost::asio::io_context loop_{1};
    asio_timer_queue timers_{loop_};
    cluster_view view_;
    peer_port peers_;
    rollout_driver rollout_driver_;
    std::optional<demand_share> share_; ///< Empty: room is divided without regard to demand.
    extra_request_window extras_;
    cold_limiter cold_limiter_;
    connection_pool pool_;
    key_digester key_digester_;
    key_authority key_authority_;
    request_authorizer authorizer_;
    std::unique_ptr<usage_driver> usage_; ///< Null: no reports are due.
    relay_coordinator coordinator_;
    address_selector address_selector_;
    relay_handler relay_;
    fixed_handler readiness_;
    fixed_handler directory_;
    fixed_handler admin_;
    caller_listener caller_listener_;
    caller_listener readiness_listener_;
    caller_listener directory_listener_;
    caller_listener admin_listener_;
    feed_handler feed_handler_;
    fixed_handler peer_pages_;
    caller_listener feed_listener_;
    std::map<address, std::unique_ptr<peer_feed_source>> peer_feeds_;
    std::optional<feed_subscriber> subscriber_;
    configuration_lag configuration_lag_{feed_limits{settings_.propagation_limit}.patience()};
    std::size_t instance_count_ = 1;
    ownership ownership_{{}}; ///< Over all members that have not left, dead ones included.
    std::size_t preferred_count_ = 0;
    bool is_preferred_ = false;
    time_point instances_counted_at_;
    duration recent_max_lag_{0}; ///< Recent maximum lag of the event loop; decays over time.
    /// Whether the known members are recent enough to divide a limit that must not be exceeded.
    renewed_knowledge member_knowledge_{milliseconds{1'500}, milliseconds{1'000}};
    std::uint64_t logged_evictions_ = 0;
    bool keys_accepted_ = false; ///< Whether keys were accepted at the last check for the log.
    time_point evictions_logged_at_;
    std::uint64_t logged_callers_ended_ = 0;
    time_point callers_ended_logged_at_;
    caller_limits logged_limits_; ///< Limits in force when they were looked at last.
    time_point limits_logged_at_;
    std::uint64_t counted_shed_ = 0; ///< Requests refused at the last exchange of room.
    bool has_loans_ = false;         ///< Whether room was borrowed at the last line about it.
    time_point room_logged_at_;
    bool stopping_ = false;
    bool finishing_ = false; ///< Whether connections are no longer accepted.
};

} // namespace knapweedchute
