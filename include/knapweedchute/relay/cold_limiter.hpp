#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/target/target_record.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

namespace knapweedchute {

/// \brief What a target leaves to this instance.
enum class target_room : std::uint8_t
{
    now,   ///< A request may be sent.
    later, ///< One may be sent in a while.
    none   ///< Others use what it bears while it is cold.
};

/// \brief Keeps the requests to a cold target within what it bears from all instances together.
///
/// \detail Each instance paces its own requests to its share, so that the sum holds without a word
///         between instances. A target without a stated bound is not limited.
class cold_limiter
{
public:
    /// \brief Requests per second that this instance may send to a cold target; nothing if the
    ///        target states no bound.
    using share_of = std::function<std::optional<double>(const target_record&)>;

    /// \param share Asked again for each request.
    explicit cold_limiter(share_of share) : share_{std::move(share)} {}

    /// \brief Whether a request may be sent to a target now.
    [[nodiscard]] auto room(const target_record& target, time_point now) const -> target_room;

    /// \brief Notes that a request is sent.
    auto on_send(const target_record& target, time_point now) -> void;

    /// \brief Forgets targets to which nothing was sent for a while.
    auto forget_before(time_point oldest) -> void;

private:
    share_of share_;
    std::unordered_map<std::string, time_point> last_sent_;
};

} // namespace knapweedchute
