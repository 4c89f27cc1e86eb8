#pragma once

#include <knapweedchute/core/time.hpp>

#include <algorithm>

namespace knapweedchute {

/// \brief Waits and ages on the way of a change from the store through a reader to its followers.
///
/// \detail All are fractions of the time within which a change must be in use at instances that are
///         in contact with the store, so that their sum stays below it whichever source is lost:
///         a follower leaves a reader whose knowledge is too old or that is silent, tries a second
///         one and then the store. Waits end at an age and not after a time of their own, so that
///         delays between two calls do not add to them.
class feed_limits
{
public:
    /// \param propagation Time within which a change of the store must be in use.
    /// \param proved      Whether ages count from what the source is known to have stated, so that
    ///                    no delay on the way makes knowledge look newer than it is.
    explicit constexpr feed_limits(milliseconds propagation, bool proved = false) noexcept
        : propagation_{propagation}, proved_{proved}
    {
    }

    /// \brief Whether ages are proved.
    [[nodiscard]] constexpr auto proved() const noexcept -> bool { return proved_; }

    /// \brief Wait of a watch of the store while other instances follow this one.
    /// \param age Age of what is known; the wait ends with `max_age`.
    [[nodiscard]] constexpr auto shared_watch(duration age) const noexcept -> milliseconds
    {
        return std::min(propagation_ / 3, remaining(age));
    }

    /// \brief Wait of a watch of the store while nobody follows this instance.
    /// \param age Age of what is known; the answer is here before `max_age`, so that an instance
    ///            that begins to follow this one is not refused meanwhile.
    [[nodiscard]] constexpr auto direct_watch(duration age) const noexcept -> milliseconds
    {
        // A change that ends the wait proves no more than that the call had begun.
        return proved_ ? shared_watch(age)
                       : std::max(remaining(age) - answer_time(), milliseconds{0});
    }

    /// \brief Time that an answer of the store usually needs at most.
    [[nodiscard]] constexpr auto answer_time() const noexcept -> milliseconds
    {
        return propagation_ / 30;
    }

    /// \brief Time after a watch's wait from which a connection to the store is considered silent.
    [[nodiscard]] constexpr auto store_margin() const noexcept -> milliseconds
    {
        return propagation_ / 5;
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

    /// \brief Time for which peers may have a newer configuration before the source is suspected;
    ///        longer than a change takes on its usual way.
    [[nodiscard]] constexpr auto patience() const noexcept -> milliseconds
    {
        return propagation_ / 5;
    }

    /// \brief Wait of a watch of a peer, such that a silent peer is left soon after `max_age`.
    /// \param age Age of what the follower knows.
    [[nodiscard]] constexpr auto peer_watch(duration age) const noexcept -> milliseconds
    {
        return std::min(propagation_ / 3, remaining(age));
    }

    [[nodiscard]] auto operator==(const feed_limits&) const -> bool = default;

private:
    [[nodiscard]] constexpr auto remaining(duration age) const noexcept -> milliseconds
    {
        return std::max(std::chrono::floor<milliseconds>(max_age() - age), milliseconds{0});
    }

    milliseconds propagation_;
    bool proved_;
};

} // namespace knapweedchute
