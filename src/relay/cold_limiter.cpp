#include <knapweedchute/relay/cold_limiter.hpp>

namespace knapweedchute {

auto cold_limiter::capacity(const target_record& target, time_point now) const -> target_capacity
{
    const auto share = now < target.cold_until ? share_(target) : std::nullopt;
    if (!share) {
        return target_capacity::now;
    }
    if (*share <= 0.0) {
        return target_capacity::none;
    }
    const auto last = last_sent_.find(target.id);
    const auto pause = std::chrono::duration<double>(1.0 / *share);
    const auto due = last == last_sent_.end() || now - last->second >= pause;
    return due ? target_capacity::now : target_capacity::later;
}

auto cold_limiter::on_send(const target_record& target, time_point now) -> void
{
    if (now < target.cold_until) {
        last_sent_[target.id] = now;
    }
}

auto cold_limiter::remove_before(time_point oldest) -> void
{
    std::erase_if(last_sent_, [&](const auto& item) { return item.second < oldest; });
}

} // namespace knapweedchute
