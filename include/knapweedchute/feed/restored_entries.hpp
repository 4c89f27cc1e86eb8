#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/feed/feed_event.hpp>
#include <knapweedchute/feed/feed_listener.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace knapweedchute {

/// Time within which entries that were lost are written again. The platform promises two seconds
/// for targets, and that operators write again what they wrote.
inline constexpr auto rewrite_time = milliseconds{2'400};
/// Time after the store's return from which only what it says counts, as changes must be in use
/// within three seconds of it.
inline constexpr auto restored_limit = milliseconds{2'900};
/// Least time for targets to write again, however late the return is noticed.
inline constexpr auto min_rewrite_time = milliseconds{900};
/// The same for operators, whose orders keep requests away from targets.
inline constexpr auto min_order_rewrite_time = milliseconds{1'500};

/// \brief Entries that a store, back from an older copy, has otherwise than they were last known.
///
/// \detail What was known stays in use until an entry is written again, or until the time has
///         passed within which that is promised. Performs no I/O and reads no clock.
class restored_entries
{
public:
    using entries = std::map<std::string, feed_event>;
    /// \brief Decides how an entry is used; see `feed_listener::use_of_restored`.
    using decision =
        std::function<restored_use(const feed_event& known, const feed_event& restored)>;

    explicit restored_entries(decision decide) : decide_{std::move(decide)} {}

    /// \brief Compares what was known with a full state of the restored store.
    /// \param known    Last state of each key, before what is held; deleted keys may be included.
    /// \param restored State of each key in the store.
    auto compare(entries known, const entries& restored) -> void;

    /// \brief Decides on the state of a key that was told or read after the comparison.
    /// \returns Whether it is to be used; what was held of the key is then dropped.
    [[nodiscard]] auto accept(const feed_event& state) -> bool;

    /// \brief Whether what was known of a key is in use in place of the store's state.
    [[nodiscard]] auto holds(const std::string& key) const -> bool { return held_.contains(key); }

    /// \brief Ends the time within which entries are written again, for some keys.
    /// \returns Keys that are as in the store from now on.
    [[nodiscard]] auto end_hold(const std::function<bool(const std::string& key)>& ends)
        -> std::vector<std::string>;

    /// \brief Adds and removes keys such that a list of the store has what is in use.
    auto complete(std::set<std::string>& keys) const -> void;

    /// \brief Returns the last known state of each key that is held.
    [[nodiscard]] auto known() const -> std::vector<feed_event>;

    /// \brief Number of keys that are held.
    [[nodiscard]] auto size() const noexcept -> std::size_t { return held_.size(); }

private:
    struct held_entry
    {
        feed_event known;    ///< Last known state; deleted if the key was known to be gone.
        feed_event restored; ///< State in the store; deleted if the store lacks the key.
        restored_use use = restored_use::after_hold;
    };

    decision decide_;
    std::map<std::string, held_entry> held_;
};

} // namespace knapweedchute
