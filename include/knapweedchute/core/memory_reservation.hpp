#pragma once

#include <cstddef>
#include <functional>

namespace knapweedchute {

class memory_budget;

/// \brief The bytes that one holder has in a memory budget.
/// \detail Bytes below `min_reserved` are not counted: they are part of the fixed cost of a
///         connection or request, whose number has limits of its own.
class memory_reservation
{
public:
    /// \brief Frees the holder's buffers later, never from inside `resize`.
    using eviction_handler = std::function<void()>;

    /// Minimum bytes of a reservation that are counted.
    static constexpr auto min_reserved = std::size_t{16} * 1'024;

    /// \param budget Must outlive the reservation.
    /// \param evict  Called once, when the reservation is evicted; it must defer the work.
    memory_reservation(memory_budget& budget, eviction_handler evict);
    memory_reservation(const memory_reservation&) = delete;
    auto operator=(const memory_reservation&) -> memory_reservation& = delete;
    ~memory_reservation();

    /// \brief Sets the bytes held; this or another reservation may be evicted.
    /// \detail Has no effect after an eviction: the holder is about to end.
    auto resize(std::size_t bytes) -> void;

    [[nodiscard]] auto bytes() const noexcept -> std::size_t { return bytes_; }
    [[nodiscard]] auto evicted() const noexcept -> bool { return evicted_; }

private:
    friend class memory_budget;

    memory_budget* budget_;
    eviction_handler evict_;
    std::size_t bytes_ = 0;
    bool evicted_ = false;
    std::size_t index_ = 0; ///< Position in the budget while `bytes_` is above zero.
};

} // namespace knapweedchute
