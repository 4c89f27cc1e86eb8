#pragma once

#include <knapweedchute/membership/membership_options.hpp>
#include <knapweedchute/membership/outgoing.hpp>

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief Who is alive, with a load per instance that does not grow with their number.
///
/// \detail One random member is probed per period; a missed probe is repeated through helpers; a
///         member that stays silent is suspected and then declared dead, unless it refutes with a
///         higher incarnation. An observer that misses many acknowledgements doubts itself first
///         and waits longer. Does no I/O and reads no clock.
/// \see A. Das, I. Gupta, A. Motivala, "SWIM" (DSN 2002); A. Dadgar et al., "Lifeguard" (2018).
class membership
{
public:
    /// \param self    This instance; its incarnation must exceed those of earlier starts.
    /// \param seeds   Addresses to join through.
    /// \param options Timing.
    /// \param seed    Seed of the random choices.
    membership(member self, std::vector<address> seeds, membership_options options,
               std::uint64_t seed);

    /// \name Events
    /// @{
    /// \brief Advances time; call at least once per probe period.
    [[nodiscard]] auto tick(time_point now) -> std::vector<outgoing>;

    /// \brief Handles a datagram.
    [[nodiscard]] auto receive(const peer_message& message, time_point now)
        -> std::vector<outgoing>;

    /// \brief Takes in a member list fetched from a peer.
    auto merge(const std::vector<member>& members, time_point now) -> void;

    /// \brief Announces a later state of this instance: it serves, is leaving, has left.
    auto announce(member_state state) -> void;

    /// \brief Replaces the addresses to join through.
    auto set_seeds(std::vector<address> seeds) -> void;

    /// \brief Sets what outgoing messages say of the configuration in force.
    /// \detail A version higher than before starts a rumour: extra pings for a few rounds.
    auto set_configuration(std::uint64_t version, std::uint64_t proof_age_ms) -> void;
    /// @}

    /// \name State
    /// @{
    [[nodiscard]] auto self() const noexcept -> const member& { return self_; }

    /// \brief Every known member including this one, ordered by name.
    [[nodiscard]] auto members() const -> std::vector<member>;

    /// \brief Messages that tell a few random members of moves between versions.
    [[nodiscard]] auto tell_evidence(const std::vector<evidence_row>& rows)
        -> std::vector<outgoing>;

    /// \brief A random serving member other than this one.
    [[nodiscard]] auto random_peer() -> std::optional<member>;

    /// \brief Changes whenever a member or its state does.
    [[nodiscard]] auto generation() const noexcept -> std::uint64_t { return generation_; }

    /// \brief Members that serve, including this one.
    [[nodiscard]] auto serving_count() const -> std::size_t;

    /// \brief Whether at least half of the members known lately are serving.
    [[nodiscard]] auto majority_reachable() const -> bool;

    /// \brief Self-doubt: 0 when probes are answered, higher when they are missed.
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

    [[nodiscard]] auto make(peer_message_kind kind, std::uint64_t sequence) -> peer_message;
    [[nodiscard]] auto next_probe(time_point now) -> std::vector<outgoing>;
    [[nodiscard]] auto indirect_probes(time_point now) -> std::vector<outgoing>;
    [[nodiscard]] auto rumours() -> std::vector<outgoing>;
    [[nodiscard]] auto random_members(std::size_t count) -> std::vector<member>;
    [[nodiscard]] auto retransmissions() const -> std::size_t;
    auto finish_probe(time_point now) -> void;
    auto expire_suspects(time_point now) -> void;
    auto learn(const member& news, time_point now, std::size_t sends) -> void;
    auto refute(const member& news) -> void;
    auto confirm(const member& sender, time_point now) -> void;

    member self_;
    std::vector<address> seeds_;
    membership_options options_;
    std::mt19937_64 random_;
    std::map<std::string, entry> entries_;
    std::vector<std::string> probe_order_;
    std::string last_news_;
    std::optional<probe> probe_;
    std::map<std::uint64_t, std::pair<address, std::uint64_t>> relayed_;
    std::optional<time_point> last_probe_;
    std::uint64_t next_sequence_ = 1;
    std::uint64_t config_version_ = 0;
    std::uint64_t proof_age_ms_ = no_proof_ms;
    std::size_t rumour_rounds_ = 0;
    std::size_t self_sends_left_ = 0;
    std::size_t local_health_ = 0;
    std::uint64_t generation_ = 1;
};

} // namespace knapweedchute
