#include "touch_record.hpp"

#include <algorithm>

namespace knapweedchute::soak {
namespace {

/// The users' pages: a machine is in touch after 4 s without impairment.
constexpr auto stable_for = seconds{4};
/// A pause of the soak's loop that counts: the store and the targets answer as late.
constexpr auto noted_pause = milliseconds{150};

} // namespace

auto touch_record::add_instance(time_point now) -> void
{
    instances_.push_back({{}, now});
}

auto touch_record::set(std::size_t instance, touch_trouble trouble, bool present, time_point now)
    -> void
{
    auto& one = instances_.at(instance);
    auto& known = one.troubles.at(static_cast<std::size_t>(trouble));
    if (known || present) {
        one.last_change = now;
    }
    known = present;
}

auto touch_record::set_store_impaired(bool impaired, time_point now) -> void
{
    if (store_impaired_ || impaired) {
        store_changed_ = now;
    }
    store_impaired_ = impaired;
}

auto touch_record::held_up(time_point now) const -> bool
{
    return last_pulse_ != time_point{} && now - last_pulse_ > noted_pause;
}

auto touch_record::on_pulse(time_point now) -> void
{
    if (held_up(now)) {
        last_hold_up_ = now;
        hold_ups_ += 1;
    }
    last_pulse_ = now;
}

auto touch_record::undisturbed(std::size_t instance, time_point since, time_point now) const -> bool
{
    const auto& one = instances_.at(instance);
    const auto troubled = std::find(one.troubles.begin(), one.troubles.end(), true);
    return troubled == one.troubles.end() && one.last_change <= since && !store_impaired_ &&
           store_changed_ <= since && !held_up(now) && last_hold_up_ <= since;
}

auto touch_record::in_touch(std::size_t instance, time_point now) const -> bool
{
    return undisturbed(instance, now - stable_for, now);
}

} // namespace knapweedchute::soak
