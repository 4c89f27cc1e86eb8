#pragma once

#include <knapweedchute/core/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace knapweedchute::soak {

/// \brief What takes an instance out of touch for as long as it lasts.
enum class touch_trouble : std::uint8_t
{
    ended,   ///< Told to end or killed, and not started again yet.
    frozen,  ///< Stopped by a signal.
    refused, ///< Turned away by the store.
    reset    ///< Its calls to the store are cut.
};

/// \brief Since when nothing has disturbed each instance, and the store.
class touch_record
{
public:
    /// \brief Adds an instance, which is out of touch as it just starts.
    auto add_instance(time_point now) -> void;

    /// \brief Notes that a trouble of an instance begins or ends.
    auto set(std::size_t instance, touch_trouble trouble, bool present, time_point now) -> void;

    /// \brief Notes whether the store is impaired for all.
    auto set_store_impaired(bool impaired, time_point now) -> void;

    /// \brief Notes that the loop of the soak runs; it is to be told often.
    auto on_pulse(time_point now) -> void;

    /// \brief Whether an instance has been undisturbed, and the store and the soak with it.
    [[nodiscard]] auto undisturbed(std::size_t instance, time_point since, time_point now) const
        -> bool;

    /// \brief Whether an instance is in touch.
    [[nodiscard]] auto in_touch(std::size_t instance, time_point now) const -> bool;

    /// \brief How often the soak itself, and with it the store, was held up.
    [[nodiscard]] auto hold_ups() const noexcept -> std::size_t { return hold_ups_; }

private:
    struct state
    {
        std::array<bool, 4> troubles{};
        time_point last_change;
    };

    [[nodiscard]] auto held_up(time_point now) const -> bool;

    std::vector<state> instances_;
    bool store_impaired_ = false;
    time_point store_changed_;
    time_point last_pulse_;
    time_point last_hold_up_;
    std::size_t hold_ups_ = 0;
};

} // namespace knapweedchute::soak
