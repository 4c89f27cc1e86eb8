#pragma once

#include <knapweedchute/core/address.hpp>
#include <knapweedchute/membership/member_state.hpp>
#include <knapweedchute/wire/bounded.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace knapweedchute {

/// \brief Addresses and state of one instance, as exchanged between peers.
struct member
{
    std::string instance;          ///< Unique name.
    std::string availability_zone; ///< Availability zone.
    address peer_address;          ///< Accepts datagrams from peers.
    address caller_address;        ///< Accepts requests from callers.
    address admin_address;         ///< Accepts requests from operators.
    std::uint64_t incarnation = 0; ///< Increases at each start, announcement and refutation.
    member_state state = member_state::alive; ///< State at this incarnation.
    std::uint32_t processor_permil = 0; ///< Processor share in thousandths of a core; 0: unknown.

    [[nodiscard]] auto operator<=>(const member&) const = default;

    /// \brief Whether the state is joining, alive, leaving or suspect.
    [[nodiscard]] auto serving() const noexcept -> bool { return state <= member_state::suspect; }
};

/// \brief Whether an update replaces the known entry of the same instance.
/// \returns True if the update has a higher incarnation, or a later state at the same incarnation.
[[nodiscard]] auto supersedes(const member& update, const member& known) noexcept -> bool;

/// \brief Maximum length in bytes of an instance or availability zone name in a datagram.
inline constexpr auto max_member_name_bytes = std::size_t{64};

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
    load_bounded(archive, value.instance, max_member_name_bytes);
    load_bounded(archive, value.availability_zone, max_member_name_bytes);
    archive(value.peer_address, value.caller_address, value.admin_address, value.incarnation, state,
            value.processor_permil);
    if (state > static_cast<std::uint8_t>(member_state::left)) {
        throw cereal::Exception{"unknown member state"};
    }
    value.state = static_cast<member_state>(state);
}

} // namespace knapweedchute
