#pragma once

#include <cstdint>

namespace knapweedchute {

/// \brief Room that an instance lends to another one.
struct room_loan
{
    std::uint32_t permil = 0; ///< Thousandths of the lendable part of one instance.
    std::uint32_t count = 0;  ///< Instances among which the lender divides the limit.

    [[nodiscard]] auto operator==(const room_loan&) const -> bool = default;
};

template <typename Archive>
auto serialize(Archive& archive, room_loan& value) -> void
{
    archive(value.permil, value.count);
}

} // namespace knapweedchute
