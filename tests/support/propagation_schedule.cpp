#include "support/propagation_schedule.hpp"

#include <algorithm>
#include <array>
#include <ostream>
#include <random>
#include <utility>

namespace knapweedchute::test {
namespace {

/// Time without disturbance after which an instance is in contact.
constexpr auto contact_window = milliseconds{4'000};
/// Time for which answers that begin their way are held up.
constexpr auto hold_window = milliseconds{3'000};
constexpr auto check_interval = milliseconds{10};
constexpr auto config_key = "op/config";

constexpr auto kind_names =
    std::array{"change",     "other",        "lose_store", "refuse",     "silence", "pause",
               "lose_peers", "join_members", "hold_store", "hold_peers", "deafen"};
/// Limits of a fleet whose instances must know when a key was taken away.
constexpr auto proved_limits = feed_limits{seconds{3}, true};
/// Time after the last step for which revocations are observed.
constexpr auto revocation_tail = milliseconds{12'000};

/// One play: applies the steps and observes the instances.
class schedule_run
{
public:
    schedule_run(const std::vector<std::string>& zones, std::size_t joining,
                 feed_limits limits = feed_fleet_limits)
        : fleet_{zones, joining, limits}, disturbances_(zones.size()), lost_(zones.size(), 0)
    {
    }

    auto play(const std::vector<schedule_step>& steps, duration limit) -> propagation_delay
    {
        run(steps, limit + check_interval, [&] { observe(limit); });
        return slowest_;
    }

    auto play_revocations(const std::vector<schedule_step>& steps, duration max_accept_age)
        -> propagation_delay
    {
        run(steps, revocation_tail, [&] { observe_accepted(max_accept_age); });
        return slowest_;
    }

private:
    template <typename Observe>
    auto run(const std::vector<schedule_step>& steps, duration tail, Observe observe_all) -> void
    {
        const auto start = fleet_.timers.now();
        auto end = start;
        for (const auto& step : steps) {
            fleet_.timers.at(start + step.at, [this, step] { begin(step); });
            end = std::max(end, start + step.at + tail);
        }
        while (fleet_.timers.now() < end) {
            fleet_.timers.advance(check_interval);
            observe_all();
        }
    }

    struct written_change
    {
        time_point at;
        std::string value;
    };

    struct disturbance
    {
        time_point begin;
        time_point end;
    };

    auto begin(const schedule_step& step) -> void
    {
        auto& affected = *fleet_.instances[step.instance % fleet_.instances.size()];
        switch (step.kind) {
        case step_kind::change:
            changes_.push_back({fleet_.timers.now(), std::to_string(changes_.size() + 1)});
            fleet_.contents.write(config_key, changes_.back().value);
            break;
        case step_kind::other:
            fleet_.contents.write("servers/a", std::to_string(fleet_.contents.revision));
            break;
        case step_kind::lose_store:
            disturb(step);
            affected.store.cut = true;
            after(step.duration, [&affected] {
                affected.store.cut = false;
                affected.store.silent_connections = 1;
            });
            break;
        case step_kind::refuse:
            disturb(step);
            affected.store.refuse();
            after(step.duration, [&affected] { affected.store.refused = false; });
            break;
        case step_kind::silence:
            affected.store.silent_connections = 1;
            break;
        case step_kind::pause:
            disturb(step);
            affected.timers.pause();
            after(step.duration, [&affected] { affected.timers.resume(); });
            break;
        case step_kind::lose_peers:
            lost_[step.instance % lost_.size()] += 1;
            fleet_.reachable = [this](auto from, auto to) { return lost_[from] + lost_[to] == 0; };
            after(step.duration,
                  [this, index = step.instance % lost_.size()] { lost_[index] -= 1; });
            break;
        case step_kind::join_members:
            fleet_.join_all();
            break;
        case step_kind::hold_store:
            affected.store.held_up = step.duration;
            after(hold_window, [&affected] { affected.store.held_up = duration::zero(); });
            break;
        case step_kind::hold_peers:
            fleet_.peer_answers_held_up = step.duration;
            after(hold_window, [this] { fleet_.peer_answers_held_up = duration::zero(); });
            break;
        case step_kind::deafen:
            fleet_.contents.deafen();
            after(step.duration, [this] { fleet_.contents.compact(); });
            break;
        }
    }

    auto after(duration time, std::function<void()> work) -> void
    {
        fleet_.timers.at(fleet_.timers.now() + time, std::move(work));
    }

    auto disturb(const schedule_step& step) -> void
    {
        const auto now = fleet_.timers.now();
        disturbances_[step.instance % disturbances_.size()].push_back({now, now + step.duration});
    }

    [[nodiscard]] auto in_contact(std::size_t index) const -> bool
    {
        const auto now = fleet_.timers.now();
        const auto& list = disturbances_[index];
        return std::none_of(list.begin(), list.end(), [&](const auto& known) {
            return known.begin <= now && known.end > now - contact_window;
        });
    }

    auto observe(duration limit) -> void
    {
        const auto now = fleet_.timers.now();
        for (auto index = std::size_t{0}; index < fleet_.instances.size(); ++index) {
            const auto& observed = *fleet_.instances[index];
            const auto& value = observed.values.at(config_key);
            const auto known = value == "old" ? std::size_t{0} : std::stoul(value);
            if (known >= changes_.size() || !in_contact(index)) {
                continue;
            }
            const auto late = std::min(now - changes_[known].at, limit + check_interval);
            if (late > slowest_.time) {
                slowest_ = {late, observed.self.instance};
            }
        }
    }

    /// An instance that stands still sends nothing; it is observed again when it goes on.
    auto observe_accepted(duration max_accept_age) -> void
    {
        const auto now = fleet_.timers.now();
        for (const auto& observed : fleet_.instances) {
            const auto age = observed->subscriber.age();
            const auto& value = observed->values.at(config_key);
            const auto known = value == "old" ? std::size_t{0} : std::stoul(value);
            const auto accepts = !observed->timers.paused() && age && *age <= max_accept_age;
            if (accepts && known < changes_.size() && now - changes_[known].at > slowest_.time) {
                slowest_ = {now - changes_[known].at, observed->self.instance};
            }
        }
    }

    feed_fleet fleet_;
    std::vector<written_change> changes_;
    std::vector<std::vector<disturbance>> disturbances_;
    std::vector<int> lost_; ///< Losses of the peers in progress, by instance.
    propagation_delay slowest_;
};

} // namespace

auto operator<<(std::ostream& output, const schedule_step& step) -> std::ostream&
{
    return output << "{" << step.at.count() << " ms, "
                  << kind_names.at(static_cast<std::size_t>(step.kind)) << ", i"
                  << 10 + step.instance << ", " << step.duration.count() << " ms}";
}

auto draw_schedule(std::uint64_t seed, int max_faults) -> drawn_schedule
{
    static const auto fleets = std::vector<std::pair<std::vector<std::string>, std::size_t>>{
        {{"a", "a", "a", "a", "b", "b", "b", "c", "c"}, 0},
        {{"a", "a", "a", "a", "a", "b", "b", "b", "b", "c", "c", "c"}, 0},
        {{"a", "a", "a", "a", "b", "b", "b", "c", "c", "a", "b", "c"}, 3},
        {std::vector<std::string>(12, "a"), 0}};
    auto random = std::mt19937_64{seed};
    const auto draw = [&random](int least, int most) {
        return std::uniform_int_distribution<int>{least, most}(random);
    };
    const auto& [zones, joining] = fleets[static_cast<std::size_t>(draw(0, 3))];
    auto drawn = drawn_schedule{zones, joining, {}};
    const auto first_change = draw(5'000, 9'000);
    const auto add = [&](int at, step_kind kind, int instance, int length) {
        drawn.steps.push_back(
            {milliseconds{at}, kind, static_cast<std::size_t>(instance), milliseconds{length}});
    };
    auto at = first_change;
    for (auto count = draw(1, 3); count > 0; --count) {
        add(at, step_kind::change, 0, 0);
        at += draw(0, 1) == 0 ? draw(400, 2'500) : draw(1, 400);
    }
    for (auto count = draw(0, 4); count > 0; --count) {
        add(first_change + draw(-1'500, 3'500), step_kind::other, 0, 0);
    }
    for (auto count = draw(1, max_faults); count > 0; --count) {
        const auto kind = static_cast<step_kind>(
            draw(static_cast<int>(step_kind::lose_store), static_cast<int>(step_kind::lose_peers)));
        const auto begin = first_change + draw(-4'500, 2'500);
        const auto instance = draw(0, static_cast<int>(zones.size()) - 1);
        add(begin, kind, instance, draw(0, 1) == 0 ? draw(200, 1'500) : draw(1'500, 6'000));
    }
    if (joining > 0) {
        add(first_change + draw(-3'000, 2'000), step_kind::join_members, 0, 0);
    }
    std::stable_sort(drawn.steps.begin(), drawn.steps.end(),
                     [](const auto& left, const auto& right) { return left.at < right.at; });
    return drawn;
}

auto draw_revocations(std::uint64_t seed, int max_faults) -> drawn_schedule
{
    auto random = std::mt19937_64{seed};
    const auto draw = [&random](int least, int most) {
        return std::uniform_int_distribution<int>{least, most}(random);
    };
    auto drawn = drawn_schedule{{"a", "a", "a", "a", "b", "b", "b", "c", "c"}, 0, {}};
    const auto add = [&](int at, step_kind kind, int length) {
        const auto instance = draw(0, static_cast<int>(drawn.zones.size()) - 1);
        drawn.steps.push_back(
            {milliseconds{at}, kind, static_cast<std::size_t>(instance), milliseconds{length}});
    };
    const auto first_change = draw(6'000, 9'000);
    auto at = first_change;
    for (auto count = draw(1, 3); count > 0; --count) {
        add(at, step_kind::change, 0);
        at += draw(200, 4'000);
    }
    for (auto count = draw(0, 4); count > 0; --count) {
        add(first_change + draw(-2'000, 5'000), step_kind::other, 0);
    }
    constexpr auto faults = std::array{
        step_kind::lose_store, step_kind::refuse,     step_kind::silence,    step_kind::pause,
        step_kind::lose_peers, step_kind::hold_store, step_kind::hold_peers, step_kind::pause};
    for (auto count = draw(1, max_faults); count > 0; --count) {
        const auto kind =
            faults.at(static_cast<std::size_t>(draw(0, static_cast<int>(faults.size()) - 1)));
        const auto held = kind == step_kind::hold_store || kind == step_kind::hold_peers;
        const auto length = draw(0, 1) == 0 ? draw(100, 1'500) : draw(1'500, held ? 3'000 : 9'000);
        add(first_change + draw(-5'000, 5'000), kind, length);
    }
    if (draw(0, 2) == 0) {
        add(first_change + draw(-1'200, 3'000), step_kind::deafen, draw(300, 1'000));
    }
    std::stable_sort(drawn.steps.begin(), drawn.steps.end(),
                     [](const auto& left, const auto& right) { return left.at < right.at; });
    return drawn;
}

schedule_player::schedule_player(std::vector<std::string> zones, std::size_t joining)
    : zones_{std::move(zones)}, joining_{joining}
{
}

auto schedule_player::play(const std::vector<schedule_step>& steps, duration limit) const
    -> propagation_delay
{
    return schedule_run{zones_, joining_}.play(steps, limit);
}

auto schedule_player::play_revocations(const std::vector<schedule_step>& steps,
                                       duration max_accept_age) const -> propagation_delay
{
    return schedule_run{zones_, joining_, proved_limits}.play_revocations(steps, max_accept_age);
}

} // namespace knapweedchute::test
