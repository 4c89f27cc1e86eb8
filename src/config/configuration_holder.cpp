#include <knapweedchute/config/configuration_holder.hpp>

#include <utility>

namespace knapweedchute {

configuration_holder::configuration_holder(duration freshness_limit) : freshness_{freshness_limit}
{
}

auto configuration_holder::add_listener(listener added) -> void
{
    listeners_.push_back(std::move(added));
}

auto configuration_holder::adopt(configuration candidate) -> adoption
{
    // One adoption at a time, so that listeners see versions in order.
    const auto order = std::lock_guard{adopt_mutex_};
    const auto known = current();
    if (known && candidate.version == known->version && candidate.text == known->text) {
        return adoption::already_active;
    }
    if (known && candidate.version <= known->version) {
        return adoption::refused;
    }
    const auto adopted = std::make_shared<const configuration>(std::move(candidate));
    {
        const auto lock = std::lock_guard{mutex_};
        current_ = adopted;
    }
    for (const auto& notify : listeners_) {
        notify(adopted);
    }
    return adoption::adopted;
}

auto configuration_holder::current() const -> std::shared_ptr<const configuration>
{
    const auto lock = std::lock_guard{mutex_};
    return current_;
}

auto configuration_holder::version() const -> std::uint64_t
{
    const auto known = current();
    return known ? known->version : 0;
}

auto configuration_holder::on_store_read(std::uint64_t version, time_point now) -> void
{
    const auto lock = std::lock_guard{mutex_};
    if (current_ && version == current_->version) {
        freshness_.on_store_read(now);
    }
}

auto configuration_holder::on_peer_message(std::uint64_t version, std::optional<duration> proof_age,
                                           time_point now) -> void
{
    const auto lock = std::lock_guard{mutex_};
    if (current_ && version == current_->version) {
        freshness_.on_peer_message(proof_age, now);
    }
}

auto configuration_holder::set_majority_reachable(bool reachable) -> void
{
    const auto lock = std::lock_guard{mutex_};
    freshness_.set_majority_reachable(reachable);
}

auto configuration_holder::proof_age(time_point now) const -> std::optional<duration>
{
    const auto lock = std::lock_guard{mutex_};
    return freshness_.proof_age(now);
}

auto configuration_holder::fresh_until() const -> time_point
{
    const auto lock = std::lock_guard{mutex_};
    return freshness_.fresh_until();
}

} // namespace knapweedchute
