#pragma once

#include <knapweedchute/core/time.hpp>

#include <algorithm>

namespace knapweedchute {

/// \brief Waits and ages on the way of a change from the store through a reader to its followers.
///
/// \detail All are fractions of the time within which a change must be in use at instances that are
///         in contact with the store, so that their sum stays below it whichever source is lost:
///         a follower leaves a reader whose knowledge is too old or that is silent, tries a second
///         one and then the store.
class feed_limits
{
public:
    /// \param propagation Time within which a change of the store must be in use.
    explicit constexpr feed_limits(milliseconds propagation) noexcept : propagation_{propagation} {}

    /// \brief Wait of a watch of the store while other instances follow this one.
    [[nodiscard]] constexpr auto shared_watch() const noexcept -> milliseconds
    {
        return propagation_ / 3;
    }

    /// \brief Wait of a watch of the store while nobody follows this instance.
    [[nodiscard]] constexpr auto direct_watch() const noexcept -> milliseconds
    {
        return propagation_ * 2 / 3;
    }

    /// \brief Age from which knowledge is not passed on; one lost call to the store fits in.
    [[nodiscard]] constexpr auto max_age() const noexcept -> milliseconds
    {
        return propagation_ * 2 / 3;
    }

    /// \brief Time after a watch's wait from which a peer is considered silent.
    [[nodiscard]] constexpr auto peer_margin() const noexcept -> milliseconds
    {
        return propagation_ * 2 / 15;
    }

    /// \brief Wait of a watch of a peer, such that a silent peer is left soon after `max_age`.
    /// \param age Age of what the follower knows.
    [[nodiscard]] constexpr auto peer_watch(duration age) const noexcept -> milliseconds
    {
        const auto remaining = std::chrono::floor<milliseconds>(max_age() - age);
        return std::clamp(remaining, milliseconds{0}, shared_watch());
    }

    [[nodiscard]] auto operator==(const feed_limits&) const -> bool = default;

private:
    milliseconds propagation_;
};

} // namespace knapweedchute
