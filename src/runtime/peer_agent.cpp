#include <knapweedchute/config/configuration_store.hpp>
#include <knapweedchute/core/log.hpp>
#include <knapweedchute/membership/store_readers.hpp>
#include <knapweedchute/runtime/peer_agent.hpp>

#include <algorithm>
#include <utility>

namespace knapweedchute {
namespace {

constexpr auto advance_interval = milliseconds{50};
constexpr auto evidence_interval = milliseconds{200};
constexpr auto min_synchronization_interval = milliseconds{500};
constexpr auto max_synchronization_interval = seconds{60};
constexpr auto fetch_timeout = milliseconds{2'000};
const auto log_line = logger{"peer"};

auto make_self(const settings& values, std::uint64_t incarnation) -> member
{
    return {values.instance,       values.availability_zone, values.peer_address,
            values.caller_address, values.admin_address,     incarnation,
            member_state::joining};
}

auto make_membership_options(const settings& values) -> membership_options
{
    auto options = membership_options{};
    options.probe_period = values.probe_period;
    return options;
}

} // namespace

peer_agent::peer_agent(const settings& values, std::uint64_t incarnation, envelope codec,
                       configuration_holder& holder, peer_caller& caller,
                       const network_filter& filter, counter_set& counters,
                       members_listener on_members_changed)
    : settings_{values}, codec_{std::move(codec)}, holder_{&holder}, caller_{&caller},
      filter_{&filter}, counters_{&counters}, members_changed_{std::move(on_members_changed)},
      socket_{values.peer_address}, membership_{make_self(values, incarnation), values.seeds,
                                                make_membership_options(values), incarnation}
{
}

peer_agent::~peer_agent()
{
    stopping_ = true;
    fetch_requested_.notify_all();
    if (datagram_thread_.joinable()) {
        datagram_thread_.join();
        fetch_thread_.join();
    }
}

auto peer_agent::start(evidence_listener listener, evidence_source source) -> void
{
    evidence_listener_ = std::move(listener);
    evidence_source_ = std::move(source);
    report_member_changes();
    datagram_thread_ = std::thread{[this] { datagram_loop(); }};
    fetch_thread_ = std::thread{[this] { fetch_loop(); }};
}

auto peer_agent::announce(member_state state) -> void
{
    const auto lock = std::lock_guard{mutex_};
    membership_.announce(state);
}

auto peer_agent::publish_configuration() -> void
{
    auto messages = std::vector<outgoing>{};
    {
        const auto now = steady_clock::now();
        const auto lock = std::lock_guard{mutex_};
        membership_.set_configuration(holder_->version(), no_proof_ms);
        messages = membership_.tick(now);
    }
    send(messages);
}

auto peer_agent::members() const -> std::vector<member>
{
    const auto lock = std::lock_guard{mutex_};
    return membership_.members();
}

auto peer_agent::self() const -> member
{
    const auto lock = std::lock_guard{mutex_};
    return membership_.self();
}

auto peer_agent::peer_address(const std::string& instance) const -> std::optional<address>
{
    for (const auto& known_member : members()) {
        if (known_member.instance == instance) {
            return known_member.peer_address;
        }
    }
    return std::nullopt;
}

auto peer_agent::reads_store() const -> bool
{
    return is_store_reader(members(), self(), static_cast<std::size_t>(settings_.store_readers));
}

auto peer_agent::local_health() const -> std::size_t
{
    const auto lock = std::lock_guard{mutex_};
    return membership_.local_health();
}

auto peer_agent::datagram_loop() -> void
{
    auto next_advance = steady_clock::now();
    while (!stopping_) {
        const auto now = steady_clock::now();
        if (now >= next_advance) {
            advance();
            next_advance = now + advance_interval;
        }
        const auto wait = std::chrono::ceil<milliseconds>(next_advance - now);
        const auto received = socket_.receive(std::max(wait, milliseconds{1}));
        if (received && filter_->allows(received->first)) {
            handle_datagram(received->first, received->second);
        }
    }
    advance();
}

auto peer_agent::advance() -> void
{
    const auto now = steady_clock::now();
    const auto age = holder_->proof_age(now);
    const auto age_ms =
        age ? static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(*age).count())
            : no_proof_ms;
    auto messages = std::vector<outgoing>{};
    auto majority = false;
    {
        const auto lock = std::lock_guard{mutex_};
        membership_.set_configuration(holder_->version(), age_ms);
        messages = membership_.tick(now);
        majority = membership_.majority_reachable();
    }
    holder_->set_majority_reachable(majority);
    send(messages);
    send_evidence();
    report_member_changes();
}

auto peer_agent::send_evidence() -> void
{
    const auto now = steady_clock::now();
    if (now < next_evidence_time_) {
        return;
    }
    next_evidence_time_ = now + evidence_interval;
    const auto rows = evidence_source_(max_evidence_rows);
    if (rows.empty()) {
        return;
    }
    auto messages = std::vector<outgoing>{};
    {
        const auto lock = std::lock_guard{mutex_};
        messages = membership_.make_evidence_messages(rows);
    }
    send(messages);
}

auto peer_agent::handle_datagram(const address& sender, const std::string& content) -> void
{
    counters_->add(counter::datagrams_received);
    counters_->add(counter::datagram_bytes_received, content.size());
    auto reason = error{};
    const auto message = codec_.decode<peer_message>(content, reason);
    if (!message) {
        counters_->add(counter::datagrams_refused);
        log_line.warning("Datagram refused.",
                         {{"from", to_string(sender)}, {"reason", to_string(reason)}});
        return;
    }
    if (!message->evidence.empty()) {
        evidence_listener_(message->evidence);
    }
    const auto now = steady_clock::now();
    auto replies = std::vector<outgoing>{};
    auto serving_count = std::size_t{0};
    {
        const auto lock = std::lock_guard{mutex_};
        replies = membership_.receive(*message, now);
        serving_count = membership_.serving_count();
    }
    send(replies);
    const auto age = message->proof_age_ms == no_proof_ms
                         ? std::nullopt
                         : std::optional<duration>{milliseconds{message->proof_age_ms}};
    holder_->on_peer_message(message->config_version, age, now);
    if (message->config_version > holder_->version() || (!joined_ && serving_count > 1)) {
        joined_ = true;
        request_fetch(message->from.peer_address);
    }
    report_member_changes();
}

auto peer_agent::send(const std::vector<outgoing>& messages) -> void
{
    for (const auto& message : messages) {
        if (!filter_->allows_datagram(message.to)) {
            continue;
        }
        const auto content = codec_.encode(message.message);
        counters_->add(counter::datagrams_sent);
        counters_->add(counter::datagram_bytes_sent, content.size());
        socket_.send(message.to, content);
    }
}

auto peer_agent::report_member_changes() -> void
{
    {
        const auto lock = std::lock_guard{mutex_};
        if (membership_.generation() == reported_generation_) {
            return;
        }
        reported_generation_ = membership_.generation();
    }
    auto instances_now = std::vector<std::string>{};
    for (const auto& known_member : members()) {
        if (known_member.state != member_state::left) {
            instances_now.push_back(known_member.instance +
                                    (known_member.serving() ? "" : " dead"));
        }
    }
    if (instances_now == known_instances_) {
        return;
    }
    known_instances_ = std::move(instances_now);
    log_line.info("Known instances changed.", {{"count", std::to_string(known_instances_.size())}});
    members_changed_();
}

auto peer_agent::request_fetch(const address& peer) -> void
{
    const auto lock = std::lock_guard{fetch_mutex_};
    fetch_from_ = peer;
    fetch_requested_.notify_one();
}

auto peer_agent::fetch_loop() -> void
{
    while (!stopping_) {
        auto peer = std::optional<address>{};
        {
            auto lock = std::unique_lock{fetch_mutex_};
            fetch_requested_.wait_for(lock, milliseconds{200},
                                      [this] { return fetch_from_.has_value() || stopping_; });
            peer = std::exchange(fetch_from_, std::nullopt);
        }
        if (peer && !stopping_) {
            fetch_configuration(*peer);
            fetch_members(*peer);
        }
        if (steady_clock::now() >= next_synchronization_time_ && !stopping_) {
            synchronize_members();
        }
    }
}

auto peer_agent::fetch_configuration(const address& peer) -> void
{
    auto call = peer_call{};
    call.kind = peer_call_kind::configuration;
    const auto reply = caller_->call(peer, call, fetch_timeout);
    if (!reply || reply->config_version <= holder_->version()) {
        return;
    }
    auto reason = error{};
    auto fetched = decode_configuration(reply->config_version, reply->config_change,
                                        reply->config_text, reason);
    if (!fetched) {
        counters_->add(counter::configurations_refused);
        log_line.failure("Fetched configuration refused.", {{"reason", to_string(reason)}});
        return;
    }
    if (holder_->adopt(std::move(*fetched)) == adoption::adopted) {
        publish_configuration();
    }
}

auto peer_agent::fetch_members(const address& peer) -> void
{
    auto call = peer_call{};
    call.kind = peer_call_kind::members;
    const auto reply = caller_->call(peer, call, fetch_timeout);
    if (!reply) {
        return;
    }
    const auto lock = std::lock_guard{mutex_};
    membership_.merge(reply->members, steady_clock::now());
}

auto peer_agent::synchronize_members() -> void
{
    auto peer = std::optional<member>{};
    auto generation_before = std::uint64_t{0};
    {
        const auto lock = std::lock_guard{mutex_};
        peer = membership_.random_peer();
        generation_before = membership_.generation();
    }
    if (peer) {
        fetch_members(peer->peer_address);
    }
    const auto lock = std::lock_guard{mutex_};
    const auto changed = membership_.generation() != generation_before;
    // A full member list is the largest message: while lists agree, the interval doubles.
    synchronization_interval_ =
        changed ? min_synchronization_interval
                : std::clamp<duration>(synchronization_interval_ * 2, min_synchronization_interval,
                                       max_synchronization_interval);
    next_synchronization_time_ = steady_clock::now() + synchronization_interval_;
}

} // namespace knapweedchute
