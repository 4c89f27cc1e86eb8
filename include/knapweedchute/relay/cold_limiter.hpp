#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/target/target_record.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

namespace knapweedchute {

/// \brief Whether this instance may send a request to a target.
enum class target_capacity : std::uint8_t
{
    now,   ///< A request may be sent.
    later, ///< A request may be sent after the pacing interval.
    none   ///< This instance has no share while the target is cold.
};

/// \brief Limits the rate of requests to a cold target to what it accepts from all instances.
///
/// \detail Each instance paces its own requests to its share of the limit, which keeps the total
///         within the limit without coordination. A target without a configured limit is not
///         limited.
class cold_limiter
{
public:
    /// \brief Returns the requests per second that this instance may send to a cold target, or
    ///        nothing if the target has no limit.
    using share_function = std::function<std::optional<double>(const target_record&)>;

    /// \param share Called for each request, so that a changed share applies at once.
    explicit cold_limiter(share_function share) : share_{std::move(share)} {}

    /// \brief Returns whether a request may be sent to a target at `now`.
    [[nodiscard]] auto capacity(const target_record& target, time_point now) const
        -> target_capacity;

    /// \brief Records that a request is sent at `now`.
    auto on_send(const target_record& target, time_point now) -> void;

    /// \brief Removes targets whose last request was sent before `oldest`.
    auto remove_before(time_point oldest) -> void;

private:
    share_function share_;
    std::unordered_map<std::string, time_point> last_sent_;
};

} // namespace knapweedchute
