#include <knapweedchute/core/boot_time.hpp>
#include <knapweedchute/core/gauge_text.hpp>
#include <knapweedchute/core/log.hpp>
#include <knapweedchute/entry/entry_instance.hpp>
#include <knapweedchute/membership/limit_fraction.hpp>
#include <knapweedchute/relay/refusal_answer.hpp>

#include <nlohmann/json.hpp>
#include <sys/resource.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace knapweedchute {
namespace {

constexpr auto maintenance_interval = milliseconds{250};
/// A lower instance count is applied only after this time: instances that are no longer seen may
/// still hold connections and send requests.
constexpr auto instance_count_hold = seconds{20};
/// Fraction of a target's connections that is divided among instances; the rest is reserved for
/// instances that are not counted.
constexpr auto divided_fraction = 0.95;
/// Time reserved before the platform kills the process.
constexpr auto stop_margin = milliseconds{700};
/// Time reserved before the stop margin to finish requests that are in progress when the last
/// callers should have stopped using the address.
constexpr auto finish_margin = milliseconds{800};
/// Callers may use an address answer for up to three lifetimes, and peers list this instance a
/// little longer.
constexpr auto address_retention_lifetimes = 4;
/// Longer than the interval between two requests to a cold target at the lowest rate.
constexpr auto cold_state_retention = seconds{60};
/// Admission state of services without requests is kept this long.
constexpr auto admission_state_retention = seconds{60};
/// Time within the stop margin in which the last answers are written.
constexpr auto flush_limit = milliseconds{300};
constexpr auto stop_poll_interval = milliseconds{20};
/// Fraction of the process's memory for answers of targets, from their first byte until they are
/// written to their callers.
constexpr auto answer_memory_fraction = 0.25;
/// Fraction of the process's descriptors for callers' connections; the others are for targets, the
/// store, peers, operators and readiness.
constexpr auto caller_descriptor_fraction = 0.75;
constexpr auto eviction_log_interval = seconds{10};
constexpr auto room_log_interval = seconds{10};
constexpr auto limits_log_interval = seconds{10};
/// The recorded maximum lag of the event loop decays to about a third in this time.
constexpr auto lag_decay_time = std::chrono::duration<double>(10.0);
constexpr auto status_ok = 200U;
const auto log_line = logger{"entry"};

auto make_self(const entry_settings& values, std::uint64_t incarnation) -> member
{
    return {values.instance,       values.availability_zone, values.peer_address,
            values.caller_address, values.admin_address,     incarnation,
            member_state::joining, values.processor_permil};
}

/// Ages are proved where keys depend on them.
auto feed_limits_of(const entry_settings& values) -> feed_limits
{
    return feed_limits{values.propagation_limit, values.revocation_limit.has_value()};
}

auto key_limits_of(const entry_settings& values) -> key_limits
{
    auto limits = key_limits{std::nullopt, values.propagation_limit};
    if (values.revocation_limit) {
        limits.max_accept_age = max_key_age(*values.revocation_limit);
    }
    return limits;
}

auto caller_bounds_of(const entry_settings& values) -> caller_bounds
{
    auto descriptors = rlimit{};
    getrlimit(RLIMIT_NOFILE, &descriptors);
    const auto count = values.max_descriptors == 0
                           ? descriptors.rlim_cur
                           : std::min<rlim_t>(descriptors.rlim_cur, values.max_descriptors);
    return {static_cast<std::size_t>(static_cast<double>(values.memory_limit) *
                                     values.caller_memory_share),
            static_cast<std::size_t>(static_cast<double>(count) * caller_descriptor_fraction),
            values.body_time_limit};
}

auto relay_policy_of(const entry_settings& values) -> relay_policy
{
    auto policy = relay_policy{};
    policy.zone_byte_price = values.zone_byte_price;
    policy.max_refuse_age = values.propagation_limit;
    return policy;
}

/// The settings contain no secret, so the store address serves as deployment name and key: messages
/// of deployments with another store are refused.
auto make_peer_envelope(const entry_settings& values) -> envelope
{
    return {to_string(values.store_address), message_key{to_string(values.store_address)}};
}

} // namespace

entry_instance::entry_instance(const entry_settings& values, entry_interface interface,
                               std::uint64_t incarnation)
    : settings_{values}, interface_{std::move(interface)},
      answer_memory_{static_cast<std::size_t>(static_cast<double>(values.memory_limit) *
                                              answer_memory_fraction),
                     counters_},
      caller_guard_{caller_bounds_of(values)}, view_{incarnation},
      peers_{loop_, timers_, make_self(values, incarnation), values.seeds,
             make_peer_envelope(values)},
      rollout_driver_{timers_, view_.rollouts(), peers_}, extras_{values.extras},
      cold_limiter_{[this](const auto& target) { return cold_share(target); }},
      pool_{loop_, timers_, interface_.headers,
            [this](const auto& target) { return connection_share(target); }, answer_memory_},
      key_digester_{to_string(values.store_address)},
      key_authority_{key_limits_of(values), [this] { return view_.table().get(); },
                     [this] { return subscriber_ ? subscriber_->age() : std::nullopt; }},
      authorizer_{interface_.headers.workspace, key_digester_, key_authority_},
      usage_{values.usage ? std::make_unique<usage_driver>(loop_, timers_, *values.usage, peers_,
                                                           counters_, make_peer_envelope(values),
                                                           interface_.encode_report)
                          : nullptr},
      coordinator_{relay_policy_of(values),
                   interface_.headers,
                   values.availability_zone,
                   {view_.targets(), pool_, timers_, extras_, cold_limiter_, view_.versions(),
                    counters_, answer_memory_, &authorizer_, usage_.get(),
                    [this] { return subscriber_ ? subscriber_->age() : std::nullopt; }},
                   incarnation},
      address_selector_{incarnation}, relay_{view_, coordinator_},
      readiness_{{{interface_.readiness_path, [this](const auto&) { return answer_readiness(); }}}},
      directory_{{{interface_.addresses_path, [this](const auto&) { return answer_addresses(); }}}},
      admin_{{{"/metrics", [this](const auto&) { return answer_metrics(); }},
              {"/state", [this](const auto&) { return answer_state(); }}}},
      caller_listener_{loop_, relay_, timers_, interface_.headers, &answer_memory_, &caller_guard_},
      readiness_listener_{loop_, readiness_, timers_, interface_.headers},
      directory_listener_{loop_, directory_, timers_, interface_.headers, nullptr, &caller_guard_},
      admin_listener_{loop_, admin_, timers_, interface_.headers},
      feed_handler_{timers_, make_peer_envelope(values)},
      peer_pages_{
          {{"/metrics", [this](const auto&) { return answer_metrics(); }},
           {"/usage/counts", [this](const auto& request) { return answer_counts(request); }}},
          &feed_handler_},
      feed_listener_{loop_, peer_pages_, timers_, interface_.headers}
{
}

auto entry_instance::start(error& reason) -> bool
{
    const auto open = caller_listener_.open(settings_.caller_address, reason) &&
                      readiness_listener_.open(settings_.readiness_address, reason) &&
                      directory_listener_.open(settings_.directory_address, reason) &&
                      admin_listener_.open(settings_.admin_address, reason) &&
                      feed_listener_.open(settings_.peer_address, reason) && peers_.open(reason);
    if (!open) {
        return false;
    }
    listen_for_room();
    run_maintenance();
    log_line.info("Started.",
                  {{"instance", settings_.instance}, {"zone", settings_.availability_zone}});
    return true;
}

auto entry_instance::follow(feed_source& store, feed_listener& listener, std::string fresh_prefix)
    -> void
{
    subscriber_.emplace(
        timers_, store, [this](const auto& peer) -> feed_source& { return peer_feed(peer); },
        [this] { return peers_.members(); }, peers_.self(), listener, std::move(fresh_prefix),
        feed_limits_of(settings_), boot_time);
    feed_handler_.set_subscriber(*subscriber_);
    peers_.on_configuration(
        [this](const auto& peer, auto version) { record_peer_configuration(peer, version); });
    subscriber_->start();
}

auto entry_instance::configuration_version() const -> std::uint64_t
{
    return view_.table() ? view_.table()->version() : 0;
}

auto entry_instance::record_peer_configuration(const std::string& peer, std::uint64_t version)
    -> void
{
    const auto own_version = configuration_version();
    if (configuration_lag_.record(version, own_version, timers_.now())) {
        const auto age = subscriber_->age();
        log_line.info("Peer has a newer configuration.",
                      {{"peer", peer},
                       {"version", std::to_string(version)},
                       {"own", std::to_string(own_version)},
                       {"follows_peer", subscriber_->follows_peer() ? "true" : "false"},
                       {"age_ms", age ? std::to_string(*age / milliseconds{1}) : "unknown"}});
    }
    if (configuration_lag_.take_suspicion(own_version, timers_.now())) {
        subscriber_->suspect_source();
    }
}

auto entry_instance::peer_feed(const member& peer) -> feed_source&
{
    auto& source = peer_feeds_[peer.peer_address];
    if (!source) {
        source = std::make_unique<peer_feed_source>(loop_, timers_, peer.peer_address,
                                                    make_peer_envelope(settings_),
                                                    feed_limits_of(settings_));
    }
    return *source;
}

auto entry_instance::apply(const entry_settings& values) -> std::vector<std::string>
{
    auto pending = std::vector<std::string>{};
    const auto compare = [&](const char* name, const auto& current, const auto& next) {
        if (!(current == next)) {
            pending.emplace_back(name);
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
    compare("propagation_limit", settings_.propagation_limit, values.propagation_limit);
    compare("revocation_limit", settings_.revocation_limit, values.revocation_limit);
    compare("usage", settings_.usage, values.usage);
    compare("share_by_demand", settings_.share_by_demand, values.share_by_demand);
    compare("memory_limit", settings_.memory_limit, values.memory_limit);
    compare("caller_memory_percent", settings_.caller_memory_share, values.caller_memory_share);
    compare("max_descriptors", settings_.max_descriptors, values.max_descriptors);
    compare("body_time_limit_ms", settings_.body_time_limit, values.body_time_limit);
    compare("zone_byte_price", settings_.zone_byte_price, values.zone_byte_price);
    compare("processor_share", settings_.processor_permil, values.processor_permil);
    extras_.set_limits(values.extras);
    settings_.extras = values.extras;
    settings_.address_lifetime = values.address_lifetime;
    settings_.stop_grace = values.stop_grace;
    if (settings_.seeds != values.seeds) {
        settings_.seeds = values.seeds;
        peers_.set_seeds(values.seeds);
    }
    return pending;
}

auto entry_instance::stop() -> void
{
    if (std::exchange(stopping_, true)) {
        return;
    }
    log_line.info("Leaving.", {{"in_progress", std::to_string(coordinator_.in_progress())}});
    peers_.announce(member_state::leaving);
    caller_listener_.close_after_answers();
    const auto deadline = timers_.now() + settings_.stop_grace - stop_margin;
    coordinator_.stop_at(deadline);
    const auto addresses_expire_at =
        timers_.now() + settings_.address_lifetime * address_retention_lifetimes;
    timers_.at(std::min(addresses_expire_at, deadline - finish_margin),
               [this, deadline] { finish_stop(deadline); });
}

auto entry_instance::finish_stop(time_point deadline) -> void
{
    const auto accepting = !std::exchange(finishing_, true);
    caller_listener_.close_idle();
    const auto busy =
        accepting || coordinator_.in_progress() > 0 || caller_listener_.active_sessions() > 0;
    if (busy && timers_.now() < deadline) {
        timers_.at(timers_.now() + stop_poll_interval, [this, deadline] { finish_stop(deadline); });
        return;
    }
    peers_.announce(member_state::left);
    log_line.info("Stopped.", {{"in_progress", std::to_string(coordinator_.in_progress())}});
    coordinator_.fail_all();
    end_loop(timers_.now() + flush_limit);
}

auto entry_instance::end_loop(time_point limit) -> void
{
    timers_.at(timers_.now() + stop_poll_interval, [this, limit] {
        if (caller_listener_.active_sessions() > 0 && timers_.now() < limit) {
            end_loop(limit);
        } else {
            loop_.stop();
        }
    });
}

auto entry_instance::run_maintenance() -> void
{
    const auto now = timers_.now();
    auto& targets = view_.targets();
    targets.expire(now);
    pool_.sweep([&](const auto& target) { return targets.is_usable(target); });
    coordinator_.retry_waiting();
    coordinator_.remove_unknown();
    coordinator_.remove_unused_groups(now - admission_state_retention);
    cold_limiter_.remove_before(now - cold_state_retention);
    update_member_counts();
    log_evictions();
    log_callers_ended();
    log_lowered_limits();
    log_proof();
    if (!stopping_ && view_.ready() && peers_.self().state == member_state::joining) {
        peers_.announce(member_state::alive);
        log_line.info("Serving callers.");
    }
    timers_.at(now + maintenance_interval, [this, due = now + maintenance_interval] {
        record_loop_lag(due);
        run_maintenance();
    });
}

auto entry_instance::record_loop_lag(time_point due) -> void
{
    const auto lag = timers_.now() - due;
    const auto decay = lag_decay_time / (lag_decay_time + maintenance_interval);
    recent_max_lag_ =
        std::max<duration>(lag, std::chrono::duration_cast<duration>(recent_max_lag_ * decay));
}

auto entry_instance::log_proof() -> void
{
    const auto& table = view_.table();
    if (!settings_.revocation_limit || !table || table->workspaces() == nullptr ||
        std::exchange(keys_accepted_, key_authority_.accepts()) == key_authority_.accepts()) {
        return;
    }
    const auto age = key_authority_.age();
    const auto age_ms = age ? std::to_string(*age / milliseconds{1}) : std::string{"unknown"};
    if (keys_accepted_) {
        log_line.info("Proof regained.", {{"age_ms", age_ms}});
    } else {
        log_line.warning("Proof lost.", {{"age_ms", age_ms}});
    }
}

auto entry_instance::log_evictions() -> void
{
    const auto evicted = counters_.value(counter::answers_evicted);
    const auto now = timers_.now();
    if (evicted == logged_evictions_ || now - evictions_logged_at_ < eviction_log_interval) {
        return;
    }
    log_line.warning("Answers evicted.", {{"count", std::to_string(evicted - logged_evictions_)},
                                          {"held_bytes", std::to_string(answer_memory_.held())},
                                          {"limit_bytes", std::to_string(answer_memory_.limit())}});
    logged_evictions_ = evicted;
    evictions_logged_at_ = now;
}

auto entry_instance::log_callers_ended() -> void
{
    const auto ended = caller_guard_.ended(caller_end::last);
    const auto now = timers_.now();
    if (ended == logged_callers_ended_ || now - callers_ended_logged_at_ < eviction_log_interval) {
        return;
    }
    const auto total = [&](caller_end why) { return std::to_string(caller_guard_.ended(why)); };
    log_line.warning("Callers ended.",
                     {{"count", std::to_string(ended - logged_callers_ended_)},
                      {"memory", total(caller_end::memory)},
                      {"framing", total(caller_end::framing)},
                      {"time", total(caller_end::time)},
                      {"room", total(caller_end::room)},
                      {"refused", total(caller_end::refused)},
                      {"held_bytes", std::to_string(caller_guard_.account().held())},
                      {"limit_bytes", std::to_string(caller_guard_.account().limit())}});
    logged_callers_ended_ = ended;
    callers_ended_logged_at_ = now;
}

auto entry_instance::log_lowered_limits() -> void
{
    const auto now = timers_.now();
    const auto limits = relay_.limits();
    if (limits == logged_limits_ || now - limits_logged_at_ < limits_log_interval) {
        return;
    }
    logged_limits_ = limits;
    limits_logged_at_ = now;
    const auto lowered = servable_limits(limits, caller_guard_.account().limit());
    if (lowered != limits) {
        log_line.warning("Limits of callers exceed their memory and are lowered.",
                         {{"version", std::to_string(configuration_version())},
                          {"header_bytes", std::to_string(limits.header_bytes)},
                          {"lowered_header_bytes", std::to_string(lowered.header_bytes)},
                          {"body_bytes", std::to_string(limits.body_bytes)},
                          {"lowered_body_bytes", std::to_string(lowered.body_bytes)},
                          {"memory_bytes", std::to_string(caller_guard_.account().limit())}});
    }
}

auto entry_instance::update_member_counts() -> void
{
    const auto now = timers_.now();
    const auto members = peers_.members();
    auto names = std::vector<std::string>{};
    for (const auto& peer : members) {
        if (peer.state != member_state::left) {
            names.push_back(peer.instance);
        }
    }
    ownership_ = ownership{std::move(names)};
    member_knowledge_.renew(boot_time());
    const auto serving = static_cast<std::size_t>(std::count_if(
        members.begin(), members.end(), [](const auto& peer) { return peer.serving(); }));
    if (serving >= instance_count_ || now - instances_counted_at_ > instance_count_hold) {
        instance_count_ = serving;
        instances_counted_at_ = now;
    }
    const auto preferred = address_selector::preferred(members);
    preferred_count_ = preferred.size();
    is_preferred_ = std::any_of(preferred.begin(), preferred.end(), [&](const auto& peer) {
        return peer.instance == settings_.instance;
    });
    const auto sharing = static_cast<std::size_t>(std::lround(1.0 / limit_share()));
    extras_.set_instance_count(sharing);
    coordinator_.set_instance_count(sharing);
    if (share_) {
        exchange_room(members);
    }
}

auto entry_instance::listen_for_room() -> void
{
    if (!settings_.share_by_demand) {
        return;
    }
    auto limits = share_limits{};
    limits.window = settings_.extras.window;
    share_.emplace(settings_.instance, limits, boot_time());
    extras_.set_fraction_source([this] { return shared_fraction(); });
    peers_.on_room(
        [this](const auto& borrower) {
            // Use since the last maintenance counts, too.
            const auto use = extras_.take_use(timers_.now());
            share_->observe(use.highest, use.refused, boot_time());
            return share_->lend(borrower, boot_time());
        },
        [this](const auto& lender, auto loan, auto requested_at) {
            share_->on_loan(lender, loan, requested_at, boot_time());
        });
}

auto entry_instance::exchange_room(const std::vector<member>& members) -> void
{
    const auto now = boot_time();
    share_->set_members(instance_count_, limit_share());
    const auto use = extras_.take_use(timers_.now());
    const auto shed = counters_.value(counter::queries_shed);
    const auto refused = std::exchange(counted_shed_, shed) != shed;
    share_->observe(use.highest, use.refused || refused, now);
    auto others = std::map<std::string, address>{};
    for (const auto& peer : members) {
        if (peer.serving() && peer.instance != settings_.instance) {
            others.emplace(peer.instance, peer.peer_address);
        }
    }
    auto names = std::vector<std::string>{};
    for (const auto& [name, peer] : others) {
        names.push_back(name);
    }
    for (const auto& lender : share_->select_lenders(names, now)) {
        if (const auto known = others.find(lender); known != others.end()) {
            peers_.request_room(known->second, now);
        }
    }
    coordinator_.set_capacity_fraction(shared_fraction());
    log_room(share_->borrowed(now));
}

auto entry_instance::shared_fraction() const -> double
{
    const auto now = boot_time();
    const auto fraction = share_->fraction(now);
    // A process that was paused may not know by how many the limit is divided now.
    return member_knowledge_.valid(now) ? fraction : fraction - share_->borrowed(now);
}

auto entry_instance::log_room(double borrowed) -> void
{
    const auto now = timers_.now();
    if ((borrowed > 0.0) == has_loans_ || now - room_logged_at_ < room_log_interval) {
        return;
    }
    has_loans_ = borrowed > 0.0;
    room_logged_at_ = now;
    if (has_loans_) {
        log_line.info("Room borrowed.", {{"fraction", std::to_string(borrowed)},
                                         {"own", std::to_string(limit_share())}});
    } else {
        log_line.info("Room given back.", {{"own", std::to_string(limit_share())}});
    }
}

auto entry_instance::limit_share() const -> double
{
    return limit_fraction(preferred_count_, instance_count_, is_preferred_);
}

auto entry_instance::connection_share(const target_record& target) const -> std::size_t
{
    const auto limit =
        view_.table() ? view_.table()->rules(target.service).connections : std::int64_t{1};
    const auto divided = static_cast<double>(limit) * divided_fraction * limit_share();
    return std::max<std::size_t>(static_cast<std::size_t>(divided), 1);
}

auto entry_instance::cold_share(const target_record& target) const -> std::optional<double>
{
    const auto limit =
        view_.table() ? view_.table()->rules(target.service).cold_requests_per_second : 0.0;
    if (limit <= 0.0) {
        return std::nullopt;
    }
    // A process that was paused may have lost its share to others meanwhile.
    if (!member_knowledge_.valid(boot_time())) {
        return 0.0;
    }
    return rate_among(ownership_, target.target_address, settings_.instance, limit);
}

} // namespace knapweedchute
