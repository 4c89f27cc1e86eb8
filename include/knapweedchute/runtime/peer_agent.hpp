#pragma once

#include <knapweedchute/config/configuration_holder.hpp>
#include <knapweedchute/config/settings.hpp>
#include <knapweedchute/core/counter_set.hpp>
#include <knapweedchute/membership/membership.hpp>
#include <knapweedchute/runtime/datagram_socket.hpp>
#include <knapweedchute/runtime/peer_caller.hpp>
#include <knapweedchute/wire/envelope.hpp>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace knapweedchute {

/// \brief Runs membership over UDP and fetches newer configurations from peers over TCP.
class peer_agent
{
public:
    /// \brief Called after the set of serving instances changed.
    using members_listener = std::function<void()>;

    /// \brief Receives rollout evidence sent by a peer. Called on the agent's thread.
    using evidence_listener = std::function<void(const std::vector<evidence_row>&)>;

    /// \brief Returns at most the given number of evidence rows to send to peers.
    using evidence_source = std::function<std::vector<evidence_row>(std::size_t)>;

    /// \param values             Settings of the process.
    /// \param incarnation        Number of this start.
    /// \param codec              Signs and verifies messages.
    /// \param holder             Holds the active configuration; must outlive the agent.
    /// \param caller             Calls peers; must outlive the agent.
    /// \param filter             Blocks peers in tests; must outlive the agent.
    /// \param counters           Counts datagrams and rejected messages; must outlive the agent.
    /// \param on_members_changed Called on the agent's thread.
    peer_agent(const settings& values, std::uint64_t incarnation, envelope codec,
               configuration_holder& holder, peer_caller& caller, const network_filter& filter,
               counter_set& counters, members_listener on_members_changed);
    peer_agent(const peer_agent&) = delete;
    auto operator=(const peer_agent&) -> peer_agent& = delete;
    ~peer_agent();

    /// \brief Whether the UDP socket is bound to the peer address.
    [[nodiscard]] auto is_open() const noexcept -> bool { return socket_.is_open(); }

    /// \brief Starts the threads.
    /// \param listener Receives rollout evidence from peers.
    /// \param source   Provides the rollout evidence to send to peers.
    auto start(evidence_listener listener, evidence_source source) -> void;

    /// \brief Announces a new state of this instance: serving, leaving or left.
    auto announce(member_state state) -> void;

    /// \brief Announces a new configuration version without waiting for the next probe.
    auto publish_configuration() -> void;

    [[nodiscard]] auto members() const -> std::vector<member>;
    [[nodiscard]] auto self() const -> member;

    /// \brief Returns the address of a member's peer port, or nothing if the member is unknown.
    [[nodiscard]] auto peer_address(const std::string& instance) const -> std::optional<address>;

    /// \brief Whether this instance is one of the store readers of its availability zone.
    [[nodiscard]] auto reads_store() const -> bool;

    /// \brief Local health score: 0 if probes are acknowledged, higher if they are missed.
    [[nodiscard]] auto local_health() const -> std::size_t;

private:
    auto datagram_loop() -> void;
    auto fetch_loop() -> void;
    auto handle_datagram(const address& sender, const std::string& content) -> void;
    auto send(const std::vector<outgoing>& messages) -> void;
    auto advance() -> void;
    auto send_evidence() -> void;
    auto report_member_changes() -> void;
    auto request_fetch(const address& peer) -> void;
    auto fetch_configuration(const address& peer) -> void;
    auto fetch_members(const address& peer) -> void;
    auto synchronize_members() -> void;

    settings settings_;
    envelope codec_;
    configuration_holder* holder_;
    peer_caller* caller_;
    const network_filter* filter_;
    counter_set* counters_;
    members_listener members_changed_;
    evidence_listener evidence_listener_;
    evidence_source evidence_source_;
    time_point next_evidence_time_;
    datagram_socket socket_;
    mutable std::mutex mutex_;
    membership membership_;
    std::vector<std::string> known_instances_;
    std::uint64_t reported_generation_ = 0;
    std::mutex fetch_mutex_;
    std::condition_variable fetch_requested_;
    std::optional<address> fetch_from_;
    bool joined_ = false;
    time_point next_synchronization_time_;
    duration synchronization_interval_{0};
    std::atomic<bool> stopping_{false};
    std::thread datagram_thread_;
    std::thread fetch_thread_;
};

} // namespace knapweedchute
