#pragma once

#include <knapweedchute/config/service_spec.hpp>
#include <knapweedchute/move/move_result.hpp>
#include <knapweedchute/query/version_tally.hpp>

#include <cereal/cereal.hpp>

#include <cstdint>

namespace knapweedchute {

/// \brief Identity of a move: a hash of service, target version and set time.
using move_key = std::uint64_t;

/// \brief Identity of the move that a service declares; the service must declare one.
[[nodiscard]] auto key_of_move(const service_spec& service) -> move_key;

/// \brief What one instance counted for one move, and what it knows of the move's end.
struct evidence_row
{
    move_key move = 0;                           ///< Move that the counts belong to.
    std::uint64_t source = 0;                    ///< Hash of instance and incarnation.
    version_tally old_version;                   ///< Counts of the version that serves.
    version_tally new_version;                   ///< Counts of the version that takes over.
    move_fault latched = move_fault::none;       ///< Fault that stopped the new version.
    move_result recorded = move_result::running; ///< Final report, once it is stored.

    [[nodiscard]] auto operator==(const evidence_row&) const -> bool = default;
};

template <typename Archive>
auto serialize(Archive& archive, version_tally& value) -> void
{
    archive(value.queries, value.incomplete, value.empty, value.slow, value.intervals);
}

template <typename Archive>
auto save(Archive& archive, const evidence_row& value) -> void
{
    archive(value.move, value.source, value.old_version, value.new_version,
            static_cast<std::uint8_t>(value.latched), static_cast<std::uint8_t>(value.recorded));
}

template <typename Archive>
auto load(Archive& archive, evidence_row& value) -> void
{
    auto latched = std::uint8_t{0};
    auto recorded = std::uint8_t{0};
    archive(value.move, value.source, value.old_version, value.new_version, latched, recorded);
    const auto known = latched <= static_cast<std::uint8_t>(move_fault::too_little_evidence) &&
                       recorded <= static_cast<std::uint8_t>(move_result::taken_back);
    if (!known) {
        throw cereal::Exception{"unknown state of a move"};
    }
    value.latched = static_cast<move_fault>(latched);
    value.recorded = static_cast<move_result>(recorded);
}

} // namespace knapweedchute
