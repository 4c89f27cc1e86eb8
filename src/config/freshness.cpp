#include <knapweedchute/config/freshness.hpp>

#include <algorithm>

namespace knapweedchute {

freshness::freshness(duration limit) noexcept : limit_{limit} {}

auto freshness::on_store_read(time_point now) noexcept -> void
{
    last_proof_ = now;
}

auto freshness::on_peer_message(std::optional<duration> proof_age, time_point now) noexcept -> void
{
    last_peer_message_ = now;
    if (!proof_age) {
        return;
    }
    const auto proved = now - *proof_age;
    last_proof_ = last_proof_ ? std::max(*last_proof_, proved) : proved;
}

auto freshness::set_majority_reachable(bool reachable) noexcept -> void
{
    majority_reachable_ = reachable;
}

auto freshness::proof_age(time_point now) const noexcept -> std::optional<duration>
{
    return last_proof_ ? std::optional{now - *last_proof_} : std::nullopt;
}

auto freshness::fresh_until() const noexcept -> time_point
{
    // Without any proof the active version may be outdated, even with a majority in contact.
    auto until = last_proof_ ? *last_proof_ + limit_ : time_point::min();
    if (last_proof_ && last_peer_message_ && majority_reachable_) {
        until = std::max(until, *last_peer_message_ + limit_);
    }
    return until;
}

} // namespace knapweedchute
