#pragma once

#include <knapweedchute/membership/member.hpp>
#include <knapweedchute/rollout/evidence_row.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief Purpose of a datagram between instances.
enum class peer_message_kind : std::uint8_t
{
    ping,            ///< Asks the receiver to acknowledge.
    acknowledgement, ///< Answers a ping.
    indirect_ping,   ///< Asks the receiver to ping `subject` and pass on the acknowledgement.
    evidence         ///< Tells counts of moves between versions.
};

/// \brief Datagram between instances: a probe that carries news.
struct peer_message
{
    peer_message_kind kind = peer_message_kind::ping;
    member from;                        ///< The sender as it sees itself.
    std::uint64_t sequence = 0;         ///< Matches an acknowledgement to its ping.
    address subject;                    ///< Member to probe, for `indirect_ping`.
    std::uint64_t config_version = 0;   ///< Version in force at the sender.
    std::uint64_t proof_age_ms = 0;     ///< Milliseconds since the store last confirmed it.
    std::vector<member> news;           ///< Recent changes of members.
    std::vector<evidence_row> evidence; ///< Counts of moves, for `evidence`.

    [[nodiscard]] auto operator==(const peer_message&) const -> bool = default;
};

/// \brief Most changes carried by one datagram.
inline constexpr auto most_news = std::size_t{6};

/// \brief Most rows of evidence carried by one datagram, which then carries no news.
inline constexpr auto most_evidence_rows = std::size_t{8};

/// \brief Proof age of an instance that has no proof.
inline constexpr auto no_proof_ms = ~std::uint64_t{0};

template <typename Archive>
auto save(Archive& archive, const peer_message& value) -> void
{
    archive(static_cast<std::uint8_t>(value.kind), value.from, value.sequence, value.subject,
            value.config_version, value.proof_age_ms);
    save_bounded(archive, value.news);
    save_bounded(archive, value.evidence);
}

template <typename Archive>
auto load(Archive& archive, peer_message& value) -> void
{
    auto kind = std::uint8_t{0};
    archive(kind, value.from, value.sequence, value.subject, value.config_version,
            value.proof_age_ms);
    load_bounded(archive, value.news, most_news);
    load_bounded(archive, value.evidence, most_evidence_rows);
    if (kind > static_cast<std::uint8_t>(peer_message_kind::evidence)) {
        throw cereal::Exception{"unknown message kind"};
    }
    value.kind = static_cast<peer_message_kind>(kind);
}

} // namespace knapweedchute
