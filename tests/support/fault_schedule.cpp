#include "support/fault_schedule.hpp"

#include <algorithm>
#include <array>
#include <ostream>
#include <random>
#include <utility>

namespace knapweedchute::test {
namespace {

/// Time without a fault after which an instance is in contact.
constexpr auto contact_window = milliseconds{4'000};
constexpr auto check_interval = milliseconds{10};
/// Time for which instances are observed after the last step, and after the last change if the
/// store turns some away.
constexpr auto tail = milliseconds{6'500};
constexpr auto turned_away_tail = milliseconds{16'500};
constexpr auto long_refusal = milliseconds{8'000};
constexpr auto gossip_interval = milliseconds{170};
/// Time after which a call ends that the store closes without an answer.
constexpr auto closing_time = milliseconds{20};
constexpr auto config_key = "op/config";

constexpr auto kind_names =
    std::array{"change",  "other",      "refuse",       "turn_away", "reset",   "silence",
               "hold_up", "slow_reads", "drop_history", "deafen",    "restart", "die"};

/// Times at which something is wrong with each instance.
class fault_record
{
public:
    explicit fault_record(std::size_t instances) : spans_(instances) {}

    auto add(std::size_t index, time_point begin, time_point end) -> void
    {
        auto& known = spans_[index];
        if (!known.empty() && known.back().first <= begin && known.back().second >= begin) {
            known.back().second = std::max(known.back().second, end);
        } else {
            known.push_back({begin, end});
        }
    }

    [[nodiscard]] auto is_recent(std::size_t index, time_point now) const -> bool
    {
        const auto& known = spans_[index];
        return std::any_of(known.begin(), known.end(), [&](const auto& span) {
            return span.first <= now && span.second > now - contact_window;
        });
    }

private:
    std::vector<std::vector<std::pair<time_point, time_point>>> spans_;
};

/// One play: applies the steps and observes the instances.
class fault_run
{
public:
    fault_run(const drawn_faults& drawn, duration limit)
        : drawn_{&drawn}, limit_{limit}, fleet_{drawn.zones}, start_{fleet_.timers.now()},
          dead_(drawn.zones.size()), faults_{drawn.zones.size()}, refusals_{drawn.zones.size()}
    {
        fleet_.fresh_prefix = "op/";
        for (auto index = std::size_t{0}; index < fleet_.instances.size(); ++index) {
            prepare(index);
            if (drawn.gossip) {
                gossip(index);
            }
        }
        fleet_.reachable = [this](auto from, auto to) { return !dead_[from] && !dead_[to]; };
    }

    auto play() -> fault_findings
    {
        auto end = start_;
        for (const auto& step : drawn_->steps) {
            fleet_.timers.at(start_ + step.at, [this, step] { begin(step); });
            end = std::max(end, start_ + step.at + step.duration + tail);
        }
        const auto turns_away =
            std::any_of(drawn_->steps.begin(), drawn_->steps.end(), [](const auto& step) {
                return is_refusal(step.kind) && step.duration >= long_refusal;
            });
        while (fleet_.timers.now() < end + (turns_away ? turned_away_tail - tail : duration{0})) {
            fleet_.timers.advance(check_interval);
            observe();
        }
        return findings_;
    }

private:
    struct written_change
    {
        time_point at;
        std::uint64_t revision;
    };

    static auto is_refusal(fault_kind kind) -> bool
    {
        return kind == fault_kind::refuse || kind == fault_kind::turn_away;
    }

    auto begin(const fault_step& step) -> void
    {
        switch (step.kind) {
        case fault_kind::change:
            fleet_.contents.write(config_key, std::to_string(changes_.size() + 1));
            changes_.push_back({fleet_.timers.now(), fleet_.contents.revision});
            break;
        case fault_kind::other:
            fleet_.contents.write("servers/a", std::to_string(fleet_.contents.revision));
            break;
        case fault_kind::slow_reads:
            for (const auto& known : fleet_.instances) {
                known->store.read_time = step.amount;
            }
            break;
        case fault_kind::drop_history:
            fleet_.contents.compact();
            break;
        case fault_kind::deafen:
            deafen(step);
            break;
        default:
            for (auto index = std::size_t{0}; index < fleet_.instances.size(); ++index) {
                if ((step.instances >> index & 1U) != 0 && !dead_[index]) {
                    strike(step, index);
                }
            }
        }
    }

    auto deafen(const fault_step& step) -> void
    {
        fleet_.contents.deafen();
        after(step.duration, [this] {
            for (const auto& known : fleet_.instances) {
                known->store.abort_watch();
            }
        });
        after(step.duration + step.amount, [this] { fleet_.contents.compact(); });
    }

    auto strike(const fault_step& step, std::size_t index) -> void
    {
        const auto now = fleet_.timers.now();
        auto& store = fleet_.instances[index]->store;
        switch (step.kind) {
        case fault_kind::refuse:
        case fault_kind::turn_away:
            refusals_.add(index, now, now + step.duration);
            refused_[index] += 1;
            store.refusal =
                step.kind == fault_kind::refuse ? feed_failure::refused : feed_failure::no_answer;
            store.refusal_time =
                step.kind == fault_kind::refuse ? store_link::answer_time : closing_time;
            store.refuse();
            after(step.duration, [this, index] {
                refused_[index] -= 1;
                fleet_.instances[index]->store.refused = refused_[index] > 0;
            });
            break;
        case fault_kind::reset:
            store.abort_watch();
            break;
        case fault_kind::silence:
            store.silent_connections = 1;
            break;
        case fault_kind::hold_up:
            faults_.add(index, now, now + step.duration);
            store.held_up = step.amount;
            after(step.duration,
                  [this, index] { fleet_.instances[index]->store.held_up = duration::zero(); });
            break;
        case fault_kind::restart:
            faults_.add(index, now, now + step.duration);
            dead_[index] = true;
            fleet_.instances[index]->timers.pause();
            after(step.duration, [this, index, stale = step.amount] { start(index, stale); });
            break;
        default:
            dead_[index] = true;
            fleet_.instances[index]->timers.pause();
            fleet_.instances[index]->store.cut = true;
            after(step.duration,
                  [this, index] { fleet_.members[index].state = member_state::dead; });
        }
    }

    /// Starts an instance again, with a first read that is stale.
    auto start(std::size_t index, duration stale) -> void
    {
        auto& known = fleet_.members[index];
        known.incarnation += 1;
        ended_.push_back(std::exchange(fleet_.instances[index],
                                       std::make_unique<feed_fleet::instance>(fleet_, known)));
        for (const auto& peer : fleet_.instances) {
            if (auto node = peer->links.extract(known.instance); !node.empty()) {
                node.mapped()->abort_watch();
                ended_links_.push_back(std::move(node.mapped()));
            }
        }
        dead_[index] = false;
        auto& started = *fleet_.instances[index];
        prepare(index);
        const auto& before = ended_.back()->store;
        started.store.refused = before.refused;
        started.store.refusal = before.refusal;
        started.store.refusal_time = before.refusal_time;
        started.store.read_time = before.read_time;
        started.store.stale_revision = [this, stale] {
            return revision_at(fleet_.timers.now() - stale);
        };
        if (drawn_->gossip) {
            gossip(index);
        }
        started.subscriber.start();
    }

    auto prepare(std::size_t index) -> void
    {
        fleet_.instances[index]->store.refuses_reads = true;
        fleet_.instances[index]->store.max_events = drawn_->max_events;
    }

    [[nodiscard]] auto revision_at(time_point then) const -> std::uint64_t
    {
        // Before the first change only the first configuration has been written.
        auto revision = first_revision_;
        for (const auto& change : changes_) {
            revision = change.at <= then ? change.revision : revision;
        }
        return revision;
    }

    auto after(duration time, std::function<void()> work) -> void
    {
        fleet_.timers.at(fleet_.timers.now() + time, std::move(work));
    }

    auto gossip(std::size_t from) -> void
    {
        auto& sender = *fleet_.instances[from];
        const auto to =
            std::uniform_int_distribution<std::size_t>{0, fleet_.instances.size() - 1}(random_);
        if (to != from && fleet_.reachable(from, to)) {
            auto& receiver = *fleet_.instances[to];
            receiver.timers.at(fleet_.timers.now(), [&receiver, version = sender.version()] {
                receiver.hear_version(version);
            });
        }
        // The timers of an instance that has ended stand still.
        sender.timers.at(fleet_.timers.now() + gossip_interval, [this, from] { gossip(from); });
    }

    auto observe() -> void
    {
        const auto now = fleet_.timers.now();
        if (serves_nobody()) {
            served_since_ = now;
            for (auto index = std::size_t{0}; index < fleet_.instances.size(); ++index) {
                faults_.add(index, now, now + check_interval);
            }
        }
        for (auto index = std::size_t{0}; index < fleet_.instances.size(); ++index) {
            const auto& observed = *fleet_.instances[index];
            const auto value = observed.values.find(config_key);
            const auto known = value == observed.values.end() || value->second == "old"
                                   ? std::size_t{0}
                                   : std::stoul(value->second);
            if (dead_[index] || known >= changes_.size()) {
                continue;
            }
            const auto missing =
                missing_change{now - changes_[known].at, observed.self.instance, now - start_};
            const auto age = observed.subscriber.age();
            const auto claims = age && *age <= limit_ && value != observed.values.end();
            const auto disturbed = faults_.is_recent(index, now);
            const auto refused = refusals_.is_recent(index, now);
            if (!disturbed && !refused) {
                note(findings_.in_contact, missing);
            } else if (!disturbed) {
                // While the store serves nobody, nobody can tell the others.
                note(findings_.turned_away,
                     {std::min(missing.age, now - served_since_), missing.instance, missing.at});
            }
            if (claims) {
                note(disturbed ? findings_.claimed_out : findings_.claimed, missing);
            }
        }
    }

    /// Whether the store refuses every instance that runs.
    [[nodiscard]] auto serves_nobody() const -> bool
    {
        for (auto index = std::size_t{0}; index < fleet_.instances.size(); ++index) {
            if (!dead_[index] && !fleet_.instances[index]->store.refused) {
                return false;
            }
        }
        return true;
    }

    static auto note(missing_change& oldest, const missing_change& missing) -> void
    {
        if (missing.age > oldest.age) {
            oldest = missing;
        }
    }

    const drawn_faults* drawn_;
    duration limit_;
    feed_fleet fleet_;
    time_point start_;
    time_point served_since_ = start_; ///< When the store last began to serve an instance.
    std::uint64_t first_revision_ = fleet_.contents.revision;
    std::vector<bool> dead_;
    std::map<std::size_t, int> refused_; ///< Refusals in progress, by instance.
    fault_record faults_;
    fault_record refusals_;
    std::vector<written_change> changes_;
    std::vector<std::unique_ptr<feed_fleet::instance>> ended_;
    std::vector<std::unique_ptr<peer_link>> ended_links_;
    std::mt19937_64 random_{1};
    fault_findings findings_;
};

/// Draws the steps of one schedule.
class fault_draw
{
public:
    explicit fault_draw(std::uint64_t seed) : random_{seed} {}

    auto draw(int max_faults) -> drawn_faults
    {
        draw_fleet();
        draw_changes();
        for (auto count = number(0, 6); count > 0; --count) {
            add(near_change(), fault_kind::other);
        }
        for (auto count = number(1, max_faults); count > 0; --count) {
            draw_fault();
        }
        std::stable_sort(drawn_.steps.begin(), drawn_.steps.end(),
                         [](const auto& left, const auto& right) { return left.at < right.at; });
        return drawn_;
    }

private:
    auto number(int least, int most) -> int
    {
        return std::uniform_int_distribution<int>{least, most}(random_);
    }

    auto add(int at, fault_kind kind, std::uint64_t instances = 0, int length = 0, int amount = 0)
        -> void
    {
        drawn_.steps.push_back({milliseconds{std::max(at, 0)}, kind, instances,
                                milliseconds{length}, milliseconds{amount}});
    }

    auto draw_fleet() -> void
    {
        // Beyond nine members instances follow readers.
        constexpr auto zone_names = std::array{"a", "b", "c"};
        const auto size = number(0, 1) == 0 ? 7 : number(10, 13);
        for (auto index = 0; index < size; ++index) {
            drawn_.zones.emplace_back(zone_names.at(static_cast<std::size_t>(index) % 3));
        }
        std::sort(drawn_.zones.begin(), drawn_.zones.end());
        drawn_.gossip = number(0, 1) == 0;
    }

    auto draw_changes() -> void
    {
        auto at = number(9'000, 12'000);
        const auto storm = number(0, 1) == 0;
        const auto gap = number(20, 330);
        for (auto count = storm ? number(5, 25) : number(1, 3); count > 0; --count) {
            add(at, fault_kind::change);
            changes_.push_back(at);
            at += storm ? gap : number(1, 2'500);
        }
    }

    auto near_change() -> int
    {
        const auto change =
            changes_[static_cast<std::size_t>(number(0, static_cast<int>(changes_.size()) - 1))];
        switch (number(0, 3)) {
        case 0:
            return change;
        case 1:
            return change + number(-350, 350);
        default:
            return change + number(-4'500, 2'500);
        }
    }

    auto one() -> std::uint64_t
    {
        return std::uint64_t{1} << number(0, static_cast<int>(drawn_.zones.size()) - 1);
    }

    auto all() -> std::uint64_t { return (std::uint64_t{1} << drawn_.zones.size()) - 1; }

    /// One instance, a share of them or all.
    auto some() -> std::uint64_t
    {
        switch (number(0, 3)) {
        case 0:
        case 1:
            return one();
        case 2:
            return random_() & all();
        default:
            return all();
        }
    }

    auto draw_fault() -> void
    {
        const auto at = near_change();
        switch (number(0, 9)) {
        case 0:
            add(at, fault_kind::refuse, number(0, 1) == 0 ? one() : random_() & all(),
                number(0, 1) == 0 ? number(20, 800) : number(800, 18'000));
            break;
        case 1:
            add(at, fault_kind::turn_away, number(0, 1) == 0 ? one() : random_() & all(),
                number(0, 1) == 0 ? number(20, 800) : number(800, 18'000));
            break;
        case 2:
            add(at, fault_kind::reset, some());
            break;
        case 3:
            add(at, fault_kind::silence, some());
            break;
        case 4:
            draw_held_up_answer(at);
            break;
        case 5:
            add(at - number(0, 1'000), fault_kind::slow_reads, 0, 0, number(4, 150));
            break;
        case 6:
            add(at, fault_kind::drop_history);
            break;
        case 7:
            add(at, fault_kind::deafen, 0, number(300, 1'200), number(0, 1) * number(0, 500));
            break;
        case 8:
            add(at, fault_kind::restart, some(), number(50, 1'500), number(1'000, 6'000));
            break;
        default:
            add(at, fault_kind::die, one(), number(500, 20'000));
        }
    }

    /// An answer that was held up, often with a connection after it that is silent.
    auto draw_held_up_answer(int at) -> void
    {
        const auto held = number(300, 2'500);
        const auto instance = one();
        add(at, fault_kind::hold_up, instance, number(100, 1'500), held);
        if (number(0, 2) > 0) {
            add(at + held + number(-300, 2'000), fault_kind::silence, instance);
        }
    }

    std::mt19937_64 random_;
    drawn_faults drawn_;
    std::vector<int> changes_;
};

} // namespace

auto operator<<(std::ostream& output, const fault_step& step) -> std::ostream&
{
    return output << "{" << step.at.count() << " ms, "
                  << kind_names.at(static_cast<std::size_t>(step.kind)) << ", set "
                  << step.instances << ", " << step.duration.count() << " ms, "
                  << step.amount.count() << " ms}";
}

auto draw_faults(std::uint64_t seed, int max_faults) -> drawn_faults
{
    return fault_draw{seed}.draw(max_faults);
}

auto play_faults(const drawn_faults& drawn, duration limit) -> fault_findings
{
    return fault_run{drawn, limit}.play();
}

} // namespace knapweedchute::test
