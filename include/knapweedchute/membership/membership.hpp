#pragma once

#include <knapweedchute/membership/membership_options.hpp>
#include <knapweedchute/membership/outgoing.hpp>

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief Gossip-based membership and failure detection (SWIM with Lifeguard extensions).
///
/// \detail Each period, one member is probed, in random order. If it does not acknowledge, other
///         members probe it on behalf of this instance. A member that still does not acknowledge
///         becomes suspect, and dead after the suspicion timeout unless it refutes with a higher
///         incarnation. An instance that misses many acknowledgements extends its own suspicion
///         timeout, because the fault may be local. The load per instance does not grow with the
///         number of instances. Performs no I/O and reads no clock.
/// \see A. Das, I. Gupta, A. Motivala, "SWIM" (DSN 2002); A. Dadgar et al., "Lifeguard" (2018).
class membership
{
public:
    /// \param self    This instance; its incarnation must exceed those of earlier starts.
    /// \param seeds   Peer addresses that are contacted while no other member is known.
    /// \param options Timing and limits.
    /// \param seed    Seed of the random number generator.
    membership(member self, std::vector<address> seeds, membership_options options,
               std::uint64_t seed);

    /// \name Events
    /// @{
    /// \brief Sends due probes and gossip, declares unrefuted suspects dead, and removes old
    ///        members.
    /// \detail Call at least once per probe period; an indirect probe needs a call at least a third
    ///         of the period after the probe and before the next one is due.
    /// \returns Datagrams to send.
    [[nodiscard]] auto tick(time_point now) -> std::vector<outgoing>;

    /// \brief Handles a datagram from a peer.
    /// \returns Datagrams to send in response.
    [[nodiscard]] auto receive(const peer_message& message, time_point now)
        -> std::vector<outgoing>;

    /// \brief Applies a member list fetched from a peer.
    /// \detail Its entries are not gossiped further.
    auto merge(const std::vector<member>& members, time_point now) -> void;

    /// \brief Sets the state of this instance and gossips it under a new incarnation.
    /// \param state Later state than the current one: alive, leaving or left.
    auto announce(member_state state) -> void;

    /// \brief Replaces the seed addresses.
    auto set_seeds(std::vector<address> seeds) -> void;

    /// \brief Sets the configuration version and proof age that outgoing messages carry.
    /// \detail A version higher than before is gossiped: extra pings are sent for a few rounds.
    /// \param version      Version of the active configuration.
    /// \param proof_age_ms Milliseconds since the store last confirmed it, or `no_proof_ms`.
    auto set_configuration(std::uint64_t version, std::uint64_t proof_age_ms) -> void;
    /// @}

    /// \name State
    /// @{
    [[nodiscard]] auto self() const noexcept -> const member& { return self_; }

    /// \brief Returns every known member including this one, ordered by instance name.
    [[nodiscard]] auto members() const -> std::vector<member>;

    /// \brief Builds messages that carry rollout evidence to a few random members.
    /// \param rows At most `max_evidence_rows` rows.
    [[nodiscard]] auto make_evidence_messages(const std::vector<evidence_row>& rows)
        -> std::vector<outgoing>;

    /// \brief Returns a random serving member other than this one, or nothing if there is none.
    [[nodiscard]] auto random_peer() -> std::optional<member>;

    /// \brief Counter that increases whenever a member is added, updated or removed.
    [[nodiscard]] auto generation() const noexcept -> std::uint64_t { return generation_; }

    /// \brief Number of serving members, including this one.
    [[nodiscard]] auto serving_count() const -> std::size_t;

    /// \brief Whether another member serves and at least as many members serve as are dead.
    /// \detail Dead members count until they are removed.
    [[nodiscard]] auto majority_reachable() const -> bool;

    /// \brief Lifeguard's local health: 0 if probes are acknowledged, higher if they are missed.
    /// \detail The suspicion timeout grows with it.
    [[nodiscard]] auto local_health() const noexcept -> std::size_t { return local_health_; }
    /// @}

private:
    struct entry
    {
        member value;
        time_point changed;
        std::size_t sends_left = 0;
    };

    struct probe
    {
        std::string instance;
        std::uint64_t sequence = 0;
        time_point sent;
        bool indirect = false;
    };

    [[nodiscard]] auto make_message(peer_message_kind kind, std::uint64_t sequence) -> peer_message;
    [[nodiscard]] auto next_probe(time_point now) -> std::vector<outgoing>;
    [[nodiscard]] auto indirect_probes(time_point now) -> std::vector<outgoing>;
    [[nodiscard]] auto gossip_messages() -> std::vector<outgoing>;
    [[nodiscard]] auto random_members(std::size_t count) -> std::vector<member>;
    [[nodiscard]] auto retransmissions() const -> std::size_t;
    auto handle_missed_probe(time_point now) -> void;
    auto expire_members(time_point now) -> void;
    auto apply_update(const member& update, time_point now, std::size_t sends) -> void;
    auto refute(const member& update) -> void;
    auto update_sender(const member& sender, time_point now) -> void;

    member self_;
    std::vector<address> seeds_;
    membership_options options_;
    std::mt19937_64 random_;
    std::map<std::string, entry> entries_;
    std::vector<std::string> probe_order_;
    std::string last_update_sent_;
    std::optional<probe> probe_;
    std::map<std::uint64_t, std::pair<address, std::uint64_t>> relayed_pings_;
    std::optional<time_point> last_probe_;
    std::uint64_t next_sequence_ = 1;
    std::uint64_t config_version_ = 0;
    std::uint64_t proof_age_ms_ = no_proof_ms;
    std::size_t gossip_rounds_left_ = 0;
    std::size_t self_sends_left_ = 0;
    std::size_t local_health_ = 0;
    std::uint64_t generation_ = 1;
};

} // namespace knapweedchute
