#pragma once

#include <knapweedchute/core/address.hpp>
#include <knapweedchute/membership/member_state.hpp>
#include <knapweedchute/wire/bounded.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace knapweedchute {

/// \brief One instance as its peers know it.
struct member
{
    std::string instance;                     ///< Unique name.
    std::string availability_zone;            ///< Availability zone.
    address peer_address;                     ///< Where peers reach it.
    address caller_address;                   ///< Where callers reach it.
    address admin_address;                    ///< Where operators reach it.
    std::uint64_t incarnation = 0;            ///< Rises at each start and refutation.
    member_state state = member_state::alive; ///< What is believed of it.
    std::uint32_t processor_permil = 0;       ///< Its part of a core, in thousandths; 0: not told.

    [[nodiscard]] auto operator<=>(const member&) const = default;

    /// \brief Whether it takes part: joining, alive, leaving or only suspected.
    [[nodiscard]] auto serving() const noexcept -> bool { return state <= member_state::suspect; }
};

/// \brief Whether news replaces what is known: a higher incarnation, or a later state at the same.
[[nodiscard]] auto supersedes(const member& news, const member& known) noexcept -> bool;

inline constexpr auto longest_member_text = std::size_t{64};

template <typename Archive>
auto serialize(Archive& archive, address& value) -> void
{
    archive(value.ip, value.port);
}

template <typename Archive>
auto save(Archive& archive, const member& value) -> void
{
    save_bounded(archive, value.instance);
    save_bounded(archive, value.availability_zone);
    archive(value.peer_address, value.caller_address, value.admin_address, value.incarnation,
            static_cast<std::uint8_t>(value.state), value.processor_permil);
}

template <typename Archive>
auto load(Archive& archive, member& value) -> void
{
    auto state = std::uint8_t{0};
    load_bounded(archive, value.instance, longest_member_text);
    load_bounded(archive, value.availability_zone, longest_member_text);
    archive(value.peer_address, value.caller_address, value.admin_address, value.incarnation, state,
            value.processor_permil);
    if (state > static_cast<std::uint8_t>(member_state::left)) {
        throw cereal::Exception{"unknown member state"};
    }
    value.state = static_cast<member_state>(state);
}

} // namespace knapweedchute
