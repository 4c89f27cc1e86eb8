#pragma once

#include <knapweedchute/config/configuration.hpp>
#include <knapweedchute/config/freshness.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace knapweedchute {

/// \brief Result of `configuration_holder::adopt`.
enum class adoption
{
    adopted,        ///< It is now active.
    already_active, ///< It was already active.
    refused         ///< It is older than the active one, or differs at the same version.
};

/// \brief Holds the active configuration of a process, which never returns to an older version.
class configuration_holder
{
public:
    /// \brief Called with each configuration that becomes active, in order of version.
    using listener = std::function<void(std::shared_ptr<const configuration>)>;

    /// \param freshness_limit Maximum age of the proof of freshness.
    explicit configuration_holder(duration freshness_limit);

    /// \brief Adds a listener; call before the first `adopt`.
    auto add_listener(listener added) -> void;

    /// \brief Activates a configuration if it is newer than the active one.
    auto adopt(configuration candidate) -> adoption;

    /// \brief Returns the active configuration, or null.
    [[nodiscard]] auto current() const -> std::shared_ptr<const configuration>;

    /// \brief Returns the active version, or 0 if there is none.
    [[nodiscard]] auto version() const -> std::uint64_t;

    /// \name Proof of freshness
    /// @{
    /// \brief Records a read of the store, which holds `version`.
    auto on_store_read(std::uint64_t version, time_point now) -> void;

    /// \brief Records a message from a peer whose active version is `version`.
    auto on_peer_message(std::uint64_t version, std::optional<duration> proof_age, time_point now)
        -> void;

    auto set_majority_reachable(bool reachable) -> void;
    [[nodiscard]] auto proof_age(time_point now) const -> std::optional<duration>;
    [[nodiscard]] auto fresh_until() const -> time_point;
    /// @}

private:
    mutable std::mutex mutex_;
    std::mutex adopt_mutex_;
    std::shared_ptr<const configuration> current_;
    freshness freshness_;
    std::vector<listener> listeners_;
};

} // namespace knapweedchute
