#pragma once

#include <knapweedchute/core/counter_set.hpp>

#include <cstddef>
#include <vector>

namespace knapweedchute {

class memory_reservation;

/// \brief Limits the bytes that a process holds in buffers that other parties fill.
/// \detail Above the limit the largest reservations are evicted, so that one holder's excess does
///         not end the work of the others. Not thread-safe.
class memory_budget
{
public:
    /// \param limit    Bytes that all reservations may hold together.
    /// \param counters Receives the evictions.
    memory_budget(std::size_t limit, counter_set& counters);
    memory_budget(const memory_budget&) = delete;
    auto operator=(const memory_budget&) -> memory_budget& = delete;
    ~memory_budget() = default;

    /// \brief Bytes that all reservations may hold together.
    [[nodiscard]] auto limit() const noexcept -> std::size_t { return limit_; }

    /// \brief Bytes that all reservations hold, the evicted ones excluded.
    [[nodiscard]] auto held() const noexcept -> std::size_t { return held_; }

    /// \brief Maximum of `held` so far, in bytes.
    [[nodiscard]] auto highest() const noexcept -> std::size_t { return highest_; }

private:
    friend class memory_reservation;

    auto update(memory_reservation& reservation, std::size_t bytes) -> void;
    auto evict_largest() -> void;
    auto remove(memory_reservation& reservation) -> void;

    std::size_t limit_;
    counter_set* counters_;
    std::size_t held_ = 0;
    std::size_t highest_ = 0;
    std::vector<memory_reservation*> reservations_; ///< Those that hold bytes.
};

} // namespace knapweedchute
