#pragma once

#include <knapweedchute/core/time.hpp>

#include <cstdint>
#include <optional>

namespace knapweedchute {

/// \brief Tracks whether the active configuration is proven to be the latest.
///
/// \detail The proof is a read of the store by this instance, or by another one whose result
///         arrived through any number of peers; messages carry its age. While no instance can read
///         the store, no new file can be accepted either. Contact with a majority of the known
///         instances then replaces the read.
class freshness
{
public:
    /// \param limit Maximum age of a proof.
    explicit freshness(duration limit) noexcept;

    /// \brief Records a read of the store that found nothing newer than the active version.
    auto on_store_read(time_point now) noexcept -> void;

    /// \brief Records a message from a peer with the same active version.
    /// \param proof_age Age of the sender's proof, if it has one.
    auto on_peer_message(std::optional<duration> proof_age, time_point now) noexcept -> void;

    /// \brief Sets whether a majority of the recently known instances is in contact.
    auto set_majority_reachable(bool reachable) noexcept -> void;

    /// \brief Returns the age of the proof, if there is one.
    [[nodiscard]] auto proof_age(time_point now) const noexcept -> std::optional<duration>;

    /// \brief Returns the time until which requests may be sent if no further message arrives.
    [[nodiscard]] auto fresh_until() const noexcept -> time_point;

private:
    duration limit_;
    std::optional<time_point> last_proof_;
    std::optional<time_point> last_peer_message_;
    bool majority_reachable_ = false;
};

} // namespace knapweedchute
