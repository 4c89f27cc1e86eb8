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

    /// \brief Receives what a peer tells of moves between versions, on the agent's thread.
    using evidence_listener = std::function<void(const std::vector<evidence_row>&)>;

    /// \brief Gives what to tell of moves between versions.
    using evidence_source = std::function<std::vector<evidence_row>(std::size_t)>;

    /// \param values      Settings of the process.
    /// \param incarnation Number of this start.
    /// \param codec       Seals and opens messages.
    /// \param holder      Configuration in force; outlives the agent.
    /// \param caller      Calls peers; outlives the agent.
    /// \param gate        Ways that are cut in tests; outlives the agent.
    /// \param counters    Receives events; outlives the agent.
    /// \param changed     Called on the agent's thread.
    peer_agent(const settings& values, std::uint64_t incarnation, envelope codec,
               configuration_holder& holder, peer_caller& caller, const network_gate& gate,
               counter_set& counters, members_listener changed);
    peer_agent(const peer_agent&) = delete;
    auto operator=(const peer_agent&) -> peer_agent& = delete;
    ~peer_agent();

    /// \brief Whether the address could be opened.
    [[nodiscard]] auto open() const noexcept -> bool { return socket_.open(); }

    /// \brief Starts the threads.
    /// \param heard Receives evidence of moves.
    /// \param told  Gives evidence of moves.
    auto start(evidence_listener heard, evidence_source told) -> void;

    /// \brief Announces that this instance serves, is leaving or has left.
    auto announce(member_state state) -> void;

    /// \brief Spreads a new version at once instead of at the next probe.
    auto spread() -> void;

    [[nodiscard]] auto members() const -> std::vector<member>;
    [[nodiscard]] auto self() const -> member;

    /// \brief Address of a member's peer port.
    [[nodiscard]] auto peer_address(const std::string& instance) const -> std::optional<address>;

    /// \brief Whether this instance is one of those that read the store for its zone.
    [[nodiscard]] auto reads_store() const -> bool;

    /// \brief Self-doubt of the observer, for the dump.
    [[nodiscard]] auto local_health() const -> std::size_t;

private:
    auto datagram_loop() -> void;
    auto fetch_loop() -> void;
    auto handle(const address& sender, const std::string& content) -> void;
    auto send(const std::vector<outgoing>& messages) -> void;
    auto advance() -> void;
    auto tell_evidence() -> void;
    auto note_members() -> void;
    auto want_fetch(const address& peer) -> void;
    auto fetch_configuration(const address& peer) -> void;
    auto fetch_members(const address& peer) -> void;
    auto synchronize_members() -> void;

    settings settings_;
    envelope codec_;
    configuration_holder* holder_;
    peer_caller* caller_;
    const network_gate* gate_;
    counter_set* counters_;
    members_listener changed_;
    evidence_listener heard_;
    evidence_source told_;
    time_point next_evidence_;
    datagram_socket socket_;
    mutable std::mutex mutex_;
    membership membership_;
    std::vector<std::string> known_;
    std::uint64_t generation_ = 0;
    std::mutex fetch_mutex_;
    std::condition_variable fetch_wanted_;
    std::optional<address> fetch_from_;
    bool joined_ = false;
    time_point next_synchronization_;
    duration synchronization_interval_{0};
    std::atomic<bool> stopping_{false};
    std::thread datagram_thread_;
    std::thread fetch_thread_;
};

} // namespace knapweedchute
