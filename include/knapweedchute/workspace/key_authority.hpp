#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/route/route_table.hpp>
#include <knapweedchute/workspace/key_digest.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

namespace knapweedchute {

/// \brief What an instance may say of a key now.
enum class key_verdict : std::uint8_t
{
    valid,   ///< A workspace holds the key.
    unknown, ///< No workspace holds the key, and the configuration is known to be in force.
    unproved ///< What is known is too old to accept or to refuse the key.
};

/// \brief Returns the name of a verdict for logs and metrics.
[[nodiscard]] auto to_string(key_verdict verdict) noexcept -> std::string_view;

/// \brief Ages up to which what is known of keys may be acted on.
struct key_limits
{
    /// Age up to which a known key is accepted; empty: a revoked key may be used as long as its
    /// revocation is not known here.
    std::optional<duration> max_accept_age;
    /// Age up to which an unknown key is refused for good.
    duration max_refuse_age = seconds{3};

    [[nodiscard]] auto operator==(const key_limits&) const -> bool = default;
};

/// \brief Decides whether keys are valid by the active configuration and by the age of what this
///        instance knows.
///
/// \detail The check is made before each send and not by a timer, so that an instance that was
///         paused or cut off finds out before it acts on what it knew. Ages come from a clock that
///         counts suspended time.
class key_authority
{
public:
    /// \brief Returns the active route table; null before the first one.
    using table_lookup = std::function<const route_table*()>;
    /// \brief Returns the age of what is known; nothing if it was never proved.
    using age_lookup = std::function<std::optional<duration>()>;

    key_authority(key_limits limits, table_lookup active_table, age_lookup age);

    /// \brief Decides on a key of a configuration with workspaces.
    /// \param holder Name of the workspace that must hold the key. A key that another one holds is
    ///               `unproved`: its caller may return.
    [[nodiscard]] auto judge(const key_digest& key, std::string_view holder) const -> key_verdict;

    /// \brief Decides on a request without a key.
    /// \returns `unknown` or `unproved`.
    [[nodiscard]] auto judge_missing() const -> key_verdict;

    /// \brief Returns the age of what is known; nothing if it was never proved.
    [[nodiscard]] auto age() const -> std::optional<duration> { return age_(); }

    /// \brief Whether known keys are accepted now.
    [[nodiscard]] auto accepts() const -> bool;

private:
    key_limits limits_;
    table_lookup active_table_;
    age_lookup age_;
};

} // namespace knapweedchute
