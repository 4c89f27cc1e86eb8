#include <knapweedchute/core/gauge_text.hpp>
#include <knapweedchute/core/log.hpp>
#include <knapweedchute/entry/entry_instance.hpp>
#include <knapweedchute/relay/refusal_answer.hpp>

#include <nlohmann/json.hpp>
#include <sys/resource.h>

#include <algorithm>
#include <utility>

namespace knapweedchute {
namespace {

constexpr auto housekeeping_interval = milliseconds{250};
/// Instances that were seen lately may still hold connections and send.
constexpr auto instances_remembered_for = seconds{20};
/// Part of a target's connections that is divided; the rest is for those that nobody counts.
constexpr auto divided_part = 0.95;
/// Kept free before the platform kills the process.
constexpr auto stop_margin = milliseconds{700};
/// Kept free before that for what is in progress when the last callers should be gone.
constexpr auto finish_time = milliseconds{800};
/// Callers keep an address answer for up to three lifetimes, and peers name it a little longer.
constexpr auto address_lifetimes_kept = 4;
/// Longer than the pause between two requests to a cold target that is paced slowest.
constexpr auto cold_memory = seconds{60};
constexpr auto stop_poll = milliseconds{20};
/// The longest lag of the loop fades to a third in so long.
constexpr auto lag_memory = std::chrono::duration<double>(10.0);
constexpr auto status_ok = 200U;
const auto log_line = logger{"entry"};

auto self_of(const entry_settings& values, std::uint64_t incarnation) -> member
{
    return {values.instance,       values.availability_zone, values.peer_address,
            values.caller_address, values.admin_address,     incarnation,
            member_state::joining, values.processor_permil};
}

/// The settings bring no secret: messages of other deployments are told apart by their store.
auto codec_of(const entry_settings& values) -> envelope
{
    return {to_string(values.store_address), message_key{to_string(values.store_address)}};
}

} // namespace

entry_instance::entry_instance(const entry_settings& values, entry_interface names,
                               std::uint64_t incarnation)
    : settings_{values}, names_{std::move(names)}, view_{incarnation},
      peers_{loop_, timers_, self_of(values, incarnation), values.seeds, codec_of(values)},
      move_driver_{timers_, view_.moves(), peers_}, extras_{values.extras},
      cold_{[this](const auto& target) { return cold_share(target); }},
      pool_{loop_, timers_, names_.headers,
            [this](const auto& target) { return connection_share(target); }},
      coordinator_{{},
                   names_.headers,
                   values.availability_zone,
                   {view_.targets(), pool_, timers_, extras_, cold_, view_.versions(), counters_},
                   incarnation},
      choice_{incarnation}, relay_{view_, coordinator_},
      readiness_{{{names_.readiness_path, [this](const auto&) { return answer_readiness(); }}}},
      directory_{{{names_.addresses_path, [this](const auto&) { return answer_addresses(); }}}},
      admin_{{{"/metrics", [this](const auto&) { return answer_metrics(); }},
              {"/state", [this](const auto&) { return answer_state(); }}}},
      callers_{loop_, relay_, timers_, names_.headers}, readiness_listener_{loop_, readiness_,
                                                                            timers_,
                                                                            names_.headers},
      directory_listener_{loop_, directory_, timers_, names_.headers},
      admin_listener_{loop_, admin_, timers_, names_.headers}, feed_{timers_, codec_of(values)},
      peer_pages_{{{"/metrics", [this](const auto&) { return answer_metrics(); }}}, &feed_},
      feed_listener_{loop_, peer_pages_, timers_, names_.headers}
{
}

auto entry_instance::start(error& reason) -> bool
{
    const auto open = callers_.open(settings_.caller_address, reason) &&
                      readiness_listener_.open(settings_.readiness_address, reason) &&
                      directory_listener_.open(settings_.directory_address, reason) &&
                      admin_listener_.open(settings_.admin_address, reason) &&
                      feed_listener_.open(settings_.peer_address, reason) && peers_.open(reason);
    if (!open) {
        return false;
    }
    keep_house();
    log_line.info("Started.",
                  {{"instance", settings_.instance}, {"zone", settings_.availability_zone}});
    return true;
}

auto entry_instance::follow(feed_source& store, feed_listener& listener, std::string fresh_prefix)
    -> void
{
    keeper_.emplace(
        timers_, store, [this](const auto& peer) -> feed_source& { return peer_feed(peer); },
        [this] { return peers_.members(); }, peers_.self(), listener, std::move(fresh_prefix));
    feed_.set_subscriber(*keeper_);
    keeper_->start();
}

auto entry_instance::peer_feed(const member& peer) -> feed_source&
{
    auto& known = peer_feeds_[peer.peer_address];
    if (!known) {
        known = std::make_unique<peer_feed_source>(loop_, timers_, peer.peer_address,
                                                   codec_of(settings_));
    }
    return *known;
}

auto entry_instance::apply(const entry_settings& values) -> std::vector<std::string>
{
    auto waiting = std::vector<std::string>{};
    const auto compare = [&](const char* name, const auto& now, const auto& next) {
        if (!(now == next)) {
            waiting.emplace_back(name);
        }
    };
    compare("instance", settings_.instance, values.instance);
    compare("availability_zone", settings_.availability_zone, values.availability_zone);
    compare("caller_address", settings_.caller_address, values.caller_address);
    compare("readiness_address", settings_.readiness_address, values.readiness_address);
    compare("directory_address", settings_.directory_address, values.directory_address);
    compare("admin_address", settings_.admin_address, values.admin_address);
    compare("peer_address", settings_.peer_address, values.peer_address);
    compare("store_address", settings_.store_address, values.store_address);
    compare("processor_share", settings_.processor_permil, values.processor_permil);
    extras_.set_limits(values.extras);
    settings_.extras = values.extras;
    settings_.address_lifetime = values.address_lifetime;
    settings_.stop_grace = values.stop_grace;
    if (settings_.seeds != values.seeds) {
        settings_.seeds = values.seeds;
        peers_.set_seeds(values.seeds);
    }
    return waiting;
}

auto entry_instance::stop() -> void
{
    if (std::exchange(stopping_, true)) {
        return;
    }
    log_line.info("Leaving.", {{"in_progress", std::to_string(coordinator_.in_progress())}});
    peers_.announce(member_state::leaving);
    callers_.close_after_answers();
    const auto last = timers_.now() + settings_.stop_grace - stop_margin;
    const auto let_go = timers_.now() + settings_.address_lifetime * address_lifetimes_kept;
    timers_.at(std::min(let_go, last - finish_time), [this, last] { finish_stop(last); });
}

auto entry_instance::finish_stop(time_point last) -> void
{
    callers_.close_idle();
    if (coordinator_.in_progress() > 0 && timers_.now() < last) {
        timers_.at(timers_.now() + stop_poll, [this, last] { finish_stop(last); });
        return;
    }
    peers_.announce(member_state::left);
    log_line.info("Stopped.", {{"in_progress", std::to_string(coordinator_.in_progress())}});
    coordinator_.fail_all();
    timers_.at(timers_.now() + stop_poll, [this] { loop_.stop(); });
}

auto entry_instance::keep_house() -> void
{
    const auto now = timers_.now();
    auto& targets = view_.targets();
    targets.expire(now);
    pool_.sweep([&](const auto& target) { return targets.is_usable(target); });
    coordinator_.retry_waiting();
    coordinator_.remove_unknown();
    cold_.remove_before(now - cold_memory);
    count_members();
    if (!stopping_ && view_.ready() && peers_.self().state == member_state::joining) {
        peers_.announce(member_state::alive);
        log_line.info("Serving callers.");
    }
    timers_.at(now + housekeeping_interval, [this, due = now + housekeeping_interval] {
        note_lag(due);
        keep_house();
    });
}

auto entry_instance::note_lag(time_point due) -> void
{
    const auto lag = timers_.now() - due;
    const auto lately = lag_memory / (lag_memory + housekeeping_interval);
    longest_lag_ =
        std::max<duration>(lag, std::chrono::duration_cast<duration>(longest_lag_ * lately));
}

auto entry_instance::count_members() -> void
{
    const auto now = timers_.now();
    const auto members = peers_.members();
    auto names = std::vector<std::string>{};
    for (const auto& known : members) {
        if (known.state != member_state::left) {
            names.push_back(known.instance);
        }
    }
    owners_ = ownership{std::move(names)};
    const auto serving = static_cast<std::size_t>(std::count_if(
        members.begin(), members.end(), [](const auto& known) { return known.serving(); }));
    if (serving >= instances_ || now - instances_noted_ > instances_remembered_for) {
        instances_ = serving;
        instances_noted_ = now;
    }
    const auto preferred = address_selector::preferred(members);
    preferred_ = preferred.size();
    is_preferred_ = std::any_of(preferred.begin(), preferred.end(), [&](const auto& known) {
        return known.instance == settings_.instance;
    });
    extras_.set_instance_count(sharers());
}

auto entry_instance::sharers() const -> std::size_t
{
    // Callers are sent to the preferred ones; the others get half for the few that come all the
    // same. Where all are preferred, all share alike.
    if (preferred_ == 0 || preferred_ >= instances_) {
        return instances_;
    }
    return 2 * (is_preferred_ ? preferred_ : instances_ - preferred_);
}

auto entry_instance::connection_share(const target_record& target) const -> std::size_t
{
    const auto limit =
        view_.table() ? view_.table()->rules(target.service).connections : std::int64_t{1};
    const auto divided = static_cast<double>(limit) * divided_part;
    return std::max<std::size_t>(static_cast<std::size_t>(divided) / sharers(), 1);
}

auto entry_instance::cold_share(const target_record& target) const -> std::optional<double>
{
    const auto limit =
        view_.table() ? view_.table()->rules(target.service).cold_requests_per_second : 0.0;
    if (limit <= 0.0) {
        return std::nullopt;
    }
    return rate_among(owners_, target.target_address, settings_.instance, limit);
}

} // namespace knapweedchute
