#pragma once

#include <knapweedchute/membership/member.hpp>
#include <knapweedchute/query/query_answer.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedchute {

/// \brief Purpose of a call from one instance to another.
enum class peer_call_kind : std::uint8_t
{
    members,       ///< Returns the member list.
    configuration, ///< Returns the active configuration.
    search         ///< Searches shards.
};

/// \brief A call from one instance to another over TCP.
struct peer_call
{
    peer_call_kind kind = peer_call_kind::members;
    std::string service;               ///< Service to search.
    std::string version;               ///< Version to search.
    std::uint64_t snapshot = 0;        ///< Snapshot to search.
    std::uint32_t total_shards = 0;    ///< Number of shards of that snapshot.
    std::vector<std::uint32_t> shards; ///< Shards to search.
    std::string text;                  ///< Query text.
    std::uint32_t top = 0;             ///< Maximum number of hits.
    std::uint64_t remaining_ms = 0;    ///< Time left until the deadline.

    [[nodiscard]] auto operator==(const peer_call&) const -> bool = default;
};

/// \brief The reply to a `peer_call`; only the fields of its kind are set.
struct peer_reply
{
    bool served = false;              ///< Whether the call was carried out.
    std::vector<member> members;      ///< Member list.
    std::uint64_t config_version = 0; ///< Version of the active configuration; 0 if there is none.
    std::string config_change;        ///< Identity of the change that produced it.
    std::string config_text;          ///< Text of the operators' file.
    query_answer answer;              ///< Answer of a search.

    [[nodiscard]] auto operator==(const peer_reply&) const -> bool = default;
};

/// \name Limits that decoding checks before it allocates memory
/// @{
inline constexpr auto max_members = std::size_t{20'000};
inline constexpr auto max_config_text_bytes = std::size_t{16'000'000};
inline constexpr auto max_text_bytes = std::size_t{65'536};
inline constexpr auto max_peer_shards = std::size_t{65'536};
inline constexpr auto max_peer_hits = std::size_t{10'000};
inline constexpr auto max_peer_frame_bytes = std::size_t{17'000'000};
/// @}

template <typename Archive>
auto save(Archive& archive, const hit& value) -> void
{
    save_bounded(archive, value.document);
    archive(value.score);
    save_bounded(archive, value.text);
}

template <typename Archive>
auto load(Archive& archive, hit& value) -> void
{
    load_bounded(archive, value.document, max_text_bytes);
    archive(value.score);
    load_bounded(archive, value.text, max_text_bytes);
}

template <typename Archive>
auto save(Archive& archive, const peer_call& value) -> void
{
    archive(static_cast<std::uint8_t>(value.kind));
    save_bounded(archive, value.service);
    save_bounded(archive, value.version);
    archive(value.snapshot, value.total_shards);
    save_bounded(archive, value.shards);
    save_bounded(archive, value.text);
    archive(value.top, value.remaining_ms);
}

template <typename Archive>
auto load(Archive& archive, peer_call& value) -> void
{
    auto kind = std::uint8_t{0};
    archive(kind);
    if (kind > static_cast<std::uint8_t>(peer_call_kind::search)) {
        throw cereal::Exception{"unknown call"};
    }
    value.kind = static_cast<peer_call_kind>(kind);
    load_bounded(archive, value.service, max_text_bytes);
    load_bounded(archive, value.version, max_text_bytes);
    archive(value.snapshot, value.total_shards);
    load_bounded(archive, value.shards, max_peer_shards);
    load_bounded(archive, value.text, max_text_bytes);
    archive(value.top, value.remaining_ms);
}

template <typename Archive>
auto save(Archive& archive, const peer_reply& value) -> void
{
    archive(value.served);
    save_bounded(archive, value.members);
    archive(value.config_version);
    save_bounded(archive, value.config_change);
    save_bounded(archive, value.config_text);
    save_bounded(archive, value.answer.version);
    archive(value.answer.snapshot, value.answer.shards, value.answer.answered);
    save_bounded(archive, value.answer.missing);
    save_bounded(archive, value.answer.hits);
}

template <typename Archive>
auto load(Archive& archive, peer_reply& value) -> void
{
    archive(value.served);
    load_bounded(archive, value.members, max_members);
    archive(value.config_version);
    load_bounded(archive, value.config_change, max_text_bytes);
    load_bounded(archive, value.config_text, max_config_text_bytes);
    load_bounded(archive, value.answer.version, max_text_bytes);
    archive(value.answer.snapshot, value.answer.shards, value.answer.answered);
    load_bounded(archive, value.answer.missing, max_peer_shards);
    load_bounded(archive, value.answer.hits, max_peer_hits);
}

} // namespace knapweedchute
