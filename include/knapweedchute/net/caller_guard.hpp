#pragma once

#include <knapweedchute/core/time.hpp>
#include <knapweedchute/net/caller_account.hpp>
#include <knapweedchute/route/caller_limits.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace knapweedchute {

/// \brief Bounds for all callers of a process together; from its settings.
struct caller_bounds
{
    std::size_t memory_bytes = std::size_t{64} << 20U; ///< Memory that they may fill.
    std::size_t connections = 3'000;                   ///< Connections that are kept open.
    milliseconds body_time{60'000};                    ///< Maximum time for a whole body.
};

/// \brief Why a caller's request or connection was ended by a bound.
enum class caller_end
{
    memory,  ///< The callers' memory was used up.
    framing, ///< A body's framing cost far more than it carried.
    time,    ///< A body took too long as a whole.
    room,    ///< The longest waiting connection was closed for a new one.
    refused, ///< A new connection was closed: all others are in progress.
    last     ///< Number of reasons, not a reason.
};

/// \brief Time for a whole body, from the end of its header.
/// \param deadline Time that the caller waits for the answer, if it states one.
[[nodiscard]] auto body_time(std::optional<milliseconds> deadline, const caller_limits& limits,
                             milliseconds longest) -> milliseconds;

/// \brief Whether a body's framing costs far more than any body within the limits carries.
/// \param framing_bytes Bytes of chunk heads, extensions and trailers so far.
[[nodiscard]] auto framing_too_dear(std::size_t framing_bytes, const caller_limits& limits) -> bool;

/// \brief Lowers limits to what one request can take of the callers' memory: a request above them
///        could never be served.
/// \param memory_bytes Memory that all callers may fill.
[[nodiscard]] auto servable_limits(const caller_limits& limits, std::size_t memory_bytes)
    -> caller_limits;

/// \brief Keeps account of what callers hold and keep open in one process. Not thread-safe.
class caller_guard
{
public:
    explicit caller_guard(const caller_bounds& bounds)
        : bounds_{bounds}, account_{bounds.memory_bytes}
    {
    }
    caller_guard(const caller_guard&) = delete;
    auto operator=(const caller_guard&) -> caller_guard& = delete;
    ~caller_guard() = default;

    [[nodiscard]] auto bounds() const noexcept -> const caller_bounds& { return bounds_; }
    [[nodiscard]] auto account() noexcept -> caller_account& { return account_; }

    auto connection_opened() noexcept -> void { connections_ += 1; }
    auto connection_closed() noexcept -> void { connections_ -= 1; }

    /// \brief Whether a further connection needs the place of another one.
    [[nodiscard]] auto full() const noexcept -> bool { return connections_ >= bounds_.connections; }

    /// \brief Counts an end.
    auto count(caller_end why) noexcept -> void { ends_[static_cast<std::size_t>(why)] += 1; }

    /// \brief Ends counted so far, for one reason or for all (`last`).
    [[nodiscard]] auto ended(caller_end why) const noexcept -> std::uint64_t;

    /// \brief Metrics in the Prometheus text format.
    [[nodiscard]] auto metrics() const -> std::string;

private:
    caller_bounds bounds_;
    caller_account account_;
    std::size_t connections_ = 0;
    std::array<std::uint64_t, static_cast<std::size_t>(caller_end::last)> ends_{};
};

/// \brief Name of a reason in metrics and log lines.
[[nodiscard]] auto to_string(caller_end why) noexcept -> std::string_view;

} // namespace knapweedchute
