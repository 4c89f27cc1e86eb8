#include <knapweedchute/zoning/zone_spill.hpp>

#include <algorithm>

namespace knapweedchute {
namespace {

constexpr auto max_groups = std::size_t{64};
constexpr auto max_zones = std::size_t{16};
constexpr auto bytes_per_kib = 1'024.0;
/// Maximum of one observation, so that a single hung exchange does not count as many.
constexpr auto max_load = 2.0;
/// Weight of the exchanges since the last step in a load.
constexpr auto window_weight = 0.5;
/// Weight of one answer in the mean price.
constexpr auto answer_weight = 1.0 / 16.0;

auto ratio(duration part, duration whole) -> double
{
    using real_milliseconds = std::chrono::duration<double, std::milli>;
    return real_milliseconds(part) / std::max(real_milliseconds(whole), real_milliseconds(1.0));
}

} // namespace

zone_spill::zone_spill(const zone_spill_policy& policy, std::string own_zone, std::uint64_t seed)
    : policy_{policy}, own_zone_{std::move(own_zone)}, random_{seed}
{
}

auto zone_spill::choose(const std::string& group, time_point now) -> zone_preference
{
    auto* state = state_of(group, now);
    if (state == nullptr) {
        return {};
    }
    if (now >= state->next_step) {
        step(group, *state, now);
    }
    if (!std::bernoulli_distribution{state->share}(random_)) {
        return {zone_choice::stay, {}};
    }
    auto preference = zone_preference{zone_choice::leave, {}};
    for (const auto& [availability_zone, zone] : state->zones) {
        if (!is_own(availability_zone) && zone.load.value_or(0.0) >= policy_.helper_limit) {
            preference.closed.push_back(availability_zone);
        }
    }
    return preference;
}

auto zone_spill::observe(const std::string& group, const zone_evidence& evidence, time_point now)
    -> void
{
    auto* state = state_of(group, now);
    if (state == nullptr ||
        (state->zones.size() >= max_zones && !state->zones.contains(evidence.availability_zone))) {
        return;
    }
    auto& zone = state->zones[evidence.availability_zone];
    zone.sum += evidence.rejected
                    ? 1.0
                    : std::min(ratio(evidence.elapsed, evidence.latency_goal), max_load);
    zone.exchanges += 1;
    zone.seen = now;
    if (evidence.answer_bytes > 0) {
        using real_milliseconds = std::chrono::duration<double, std::milli>;
        const auto worth =
            policy_.byte_price * static_cast<double>(evidence.answer_bytes) / bytes_per_kib;
        const auto price = worth / std::max(real_milliseconds(evidence.latency_goal).count(), 1.0);
        state->price += (price - state->price) * answer_weight;
    }
}

auto zone_spill::remove_unused(time_point oldest) -> void
{
    std::erase_if(groups_, [&](const auto& item) { return item.second.used < oldest; });
}

auto zone_spill::share(const std::string& group) const -> double
{
    const auto found = groups_.find(group);
    return found == groups_.end() ? 0.0 : found->second.share;
}

auto zone_spill::largest_share() const -> double
{
    auto largest = 0.0;
    for (const auto& [group, state] : groups_) {
        largest = std::max(largest, state.share);
    }
    return largest;
}

auto zone_spill::state_of(const std::string& group, time_point now) -> group_state*
{
    if (policy_.byte_price <= 0.0) {
        return nullptr;
    }
    const auto found = groups_.find(group);
    if (found == groups_.end() && groups_.size() >= max_groups) {
        return nullptr;
    }
    auto& state = found == groups_.end() ? groups_[group] : found->second;
    if (found == groups_.end()) {
        state.next_step = now + step_time();
    }
    state.used = now;
    return &state;
}

auto zone_spill::step_time() -> duration
{
    auto spread = std::uniform_real_distribution<double>{0.5, 1.5};
    return std::chrono::duration_cast<duration>(policy_.step_interval * spread(random_));
}

auto zone_spill::step(const std::string& group, group_state& state, time_point now) -> void
{
    state.next_step = now + step_time();
    update_loads(state, now);
    const auto previous = state.share;
    state.share = std::clamp(next_share(state), 0.0, policy_.max_share);
    if ((previous > 0.0) != (state.share > 0.0)) {
        change_ = zone_change{group, state.share > 0.0, own_load(state).value_or(0.0), state.price};
    }
}

auto zone_spill::update_loads(group_state& state, time_point now) const -> void
{
    for (auto& [availability_zone, zone] : state.zones) {
        if (now - zone.seen > policy_.evidence_lifetime) {
            zone = {};
        } else if (zone.exchanges >= policy_.min_exchanges) {
            const auto mean = zone.sum / static_cast<double>(zone.exchanges);
            const auto previous = zone.load.value_or(mean);
            zone.load = previous + (mean - previous) * window_weight;
            zone.sum = 0.0;
            zone.exchanges = 0;
        }
    }
    std::erase_if(state.zones,
                  [](const auto& item) { return item.second.exchanges == 0 && !item.second.load; });
}

auto zone_spill::own_load(const group_state& state) const -> std::optional<double>
{
    const auto found = state.zones.find(own_zone_);
    return found == state.zones.end() ? std::nullopt : found->second.load;
}

auto zone_spill::next_share(const group_state& state) const -> double
{
    const auto own = own_load(state);
    auto helper = std::optional<double>{};
    for (const auto& [availability_zone, zone] : state.zones) {
        if (!is_own(availability_zone) && zone.load) {
            helper = std::min(helper.value_or(max_load), *zone.load);
        }
    }
    // Nothing is known of zones to which nothing was sent; the first step finds out.
    const auto helper_load = helper.value_or(policy_.end_load / 2.0);
    if (!own || *own < policy_.end_load || helper_load >= policy_.helper_limit ||
        *own < helper_load) {
        return state.share - policy_.step;
    }
    const auto pays = *own - helper_load > state.price;
    const auto raise = *own > policy_.begin_load && helper_load < policy_.end_load && pays;
    return raise ? state.share + policy_.step : state.share;
}

} // namespace knapweedchute
