#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/rollout/evidence_row.hpp>

#include <cstdint>
#include <string>

namespace knapweedchute {

/// \brief An operator's order to roll out another version of a service.
struct rollout_order
{
    std::string service;      ///< Service that is rolled out.
    std::string to;           ///< New version.
    milliseconds duration{0}; ///< Time within which the rollout is to end.
    std::uint64_t number = 0; ///< Distinguishes orders for the same version; rises with each.
    std::uint64_t era = 0;    ///< History of the store within which numbers rise.

    [[nodiscard]] auto operator==(const rollout_order&) const -> bool = default;
};

/// \brief Whether an order was given later than another, by era and number.
[[nodiscard]] constexpr auto is_later(const rollout_order& order,
                                      const rollout_order& than) noexcept -> bool
{
    return order.era != than.era ? order.era > than.era : order.number > than.number;
}

/// \brief Whether an order is another one, written again after the store had lost it.
[[nodiscard]] inline auto is_written_again(const rollout_order& order, const rollout_order& known)
    -> bool
{
    return order.era > known.era && order.service == known.service && order.to == known.to &&
           order.duration == known.duration;
}

/// \brief Identity of the rollout that an order requests.
/// \returns Hash of the service, the new version and the number of the order.
[[nodiscard]] auto key_of_rollout(const rollout_order& order) -> rollout_key;

} // namespace knapweedchute
