#pragma once

#include <knapweedchute/membership/member.hpp>
#include <knapweedchute/rollout/evidence_row.hpp>
#include <knapweedchute/sharing/room_loan.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief Purpose of a datagram between instances.
enum class peer_message_kind : std::uint8_t
{
    ping,            ///< Requests an acknowledgement.
    acknowledgement, ///< Reply to a ping.
    indirect_ping,   ///< Requests a ping of `subject`; its acknowledgement is relayed.
    evidence,        ///< Carries rollout evidence.
    room_request,    ///< Requests a loan of shared room; `sequence` is a time of the sender.
    room_grant       ///< Reply to a request for room, with its `sequence`.
};

/// \brief Datagram between instances: a probe or its reply with piggybacked member updates, or
///        rollout evidence, or a request or loan of shared room.
struct peer_message
{
    peer_message_kind kind = peer_message_kind::ping;
    member from;                      ///< Addresses and state of the sender.
    std::uint64_t sequence = 0;       ///< Matches an acknowledgement to its ping.
    address subject;                  ///< Peer address to probe, for `indirect_ping`.
    std::uint64_t config_version = 0; ///< Active configuration version of the sender.
    std::uint64_t proof_age_ms = 0;   ///< Milliseconds since the store last confirmed that version.
    std::vector<member> updates;      ///< Recent changes of members.
    std::vector<evidence_row> evidence; ///< Rollout evidence, for `evidence`.

    room_loan room; ///< Room that is lent, for `room_grant`.

    [[nodiscard]] auto operator==(const peer_message&) const -> bool = default;
};

/// \brief Maximum number of member updates in one datagram.
inline constexpr auto max_updates = std::size_t{6};

/// \brief Maximum number of evidence rows in one datagram, which then carries no updates.
inline constexpr auto max_evidence_rows = std::size_t{8};

/// \brief Proof age of an instance whose configuration the store has not confirmed.
inline constexpr auto no_proof_ms = ~std::uint64_t{0};

template <typename Archive>
auto save(Archive& archive, const peer_message& value) -> void
{
    archive(static_cast<std::uint8_t>(value.kind), value.from, value.sequence, value.subject,
            value.config_version, value.proof_age_ms);
    save_bounded(archive, value.updates);
    save_bounded(archive, value.evidence);
    // The encoding of earlier kinds stays as releases without this one read it.
    if (value.kind == peer_message_kind::room_grant) {
        archive(value.room);
    }
}

template <typename Archive>
auto load(Archive& archive, peer_message& value) -> void
{
    auto kind = std::uint8_t{0};
    archive(kind, value.from, value.sequence, value.subject, value.config_version,
            value.proof_age_ms);
    load_bounded(archive, value.updates, max_updates);
    load_bounded(archive, value.evidence, max_evidence_rows);
    if (kind > static_cast<std::uint8_t>(peer_message_kind::room_grant)) {
        throw cereal::Exception{"unknown message kind"};
    }
    value.kind = static_cast<peer_message_kind>(kind);
    if (value.kind == peer_message_kind::room_grant) {
        archive(value.room);
    }
}

} // namespace knapweedchute
