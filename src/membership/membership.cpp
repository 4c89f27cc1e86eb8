#include <knapweedchute/membership/membership.hpp>

#include <algorithm>
#include <bit>
#include <iterator>
#include <utility>

namespace knapweedchute {
namespace {

constexpr auto retransmission_factor = std::size_t{1};
constexpr auto max_relayed_pings = std::size_t{64};

} // namespace

membership::membership(member self, std::vector<address> seeds, membership_options options,
                       std::uint64_t seed)
    : self_{std::move(self)}, seeds_{std::move(seeds)}, options_{options}, random_{seed}
{
    std::erase(seeds_, self_.peer_address);
}

auto membership::set_seeds(std::vector<address> seeds) -> void
{
    seeds_ = std::move(seeds);
    std::erase(seeds_, self_.peer_address);
}

auto membership::tick(time_point now) -> std::vector<outgoing>
{
    auto messages = gossip_messages();
    const auto due = !last_probe_ || now - *last_probe_ >= options_.probe_period;
    auto probes = due ? next_probe(now) : indirect_probes(now);
    std::move(probes.begin(), probes.end(), std::back_inserter(messages));
    return messages;
}

auto membership::receive(const peer_message& message, time_point now) -> std::vector<outgoing>
{
    if (message.from.instance == self_.instance) {
        return {};
    }
    update_sender(message.from, now);
    for (const auto& update : message.updates) {
        apply_update(update, now, retransmissions());
    }
    auto messages = std::vector<outgoing>{};
    if (message.kind == peer_message_kind::ping) {
        messages.push_back({message.from.peer_address,
                            make_message(peer_message_kind::acknowledgement, message.sequence)});
    }
    if (message.kind == peer_message_kind::indirect_ping &&
        relayed_pings_.size() < max_relayed_pings) {
        const auto sequence = next_sequence_++;
        relayed_pings_[sequence] = {message.from.peer_address, message.sequence};
        messages.push_back({message.subject, make_message(peer_message_kind::ping, sequence)});
    }
    if (message.kind == peer_message_kind::acknowledgement) {
        if (const auto relayed = relayed_pings_.find(message.sequence);
            relayed != relayed_pings_.end()) {
            const auto [to, sequence] = relayed->second;
            relayed_pings_.erase(relayed);
            messages.push_back({to, make_message(peer_message_kind::acknowledgement, sequence)});
        }
        if (probe_ && probe_->sequence == message.sequence) {
            probe_.reset();
            local_health_ -= local_health_ > 0 ? 1 : 0;
        }
    }
    return messages;
}

auto membership::merge(const std::vector<member>& members, time_point now) -> void
{
    // Peers fetch complete lists themselves, so gossiping the entries would be redundant.
    for (const auto& update : members) {
        apply_update(update, now, 0);
    }
}

auto membership::announce(member_state state) -> void
{
    self_.state = state;
    self_.incarnation += 1;
    generation_ += 1;
    self_sends_left_ = retransmissions();
    gossip_rounds_left_ = retransmissions();
}

auto membership::set_configuration(std::uint64_t version, std::uint64_t proof_age_ms) -> void
{
    if (version > config_version_) {
        gossip_rounds_left_ = retransmissions();
    }
    config_version_ = version;
    proof_age_ms_ = proof_age_ms;
}

auto membership::make_evidence_messages(const std::vector<evidence_row>& rows)
    -> std::vector<outgoing>
{
    auto messages = std::vector<outgoing>{};
    for (const auto& peer : random_members(options_.gossip_fanout)) {
        auto message = peer_message{peer_message_kind::evidence,
                                    self_,
                                    0,
                                    {},
                                    config_version_,
                                    proof_age_ms_,
                                    {},
                                    rows,
                                    {}};
        messages.push_back({peer.peer_address, std::move(message)});
    }
    return messages;
}

auto membership::random_peer() -> std::optional<member>
{
    const auto selected = random_members(1);
    return selected.empty() ? std::nullopt : std::optional{selected.front()};
}

auto membership::members() const -> std::vector<member>
{
    auto list = std::vector<member>{self_};
    for (const auto& [name, known] : entries_) {
        list.push_back(known.value);
    }
    std::sort(list.begin(), list.end());
    return list;
}

auto membership::serving_count() const -> std::size_t
{
    const auto others = std::count_if(entries_.begin(), entries_.end(), [](const auto& known) {
        return known.second.value.serving();
    });
    return static_cast<std::size_t>(others) + 1;
}

auto membership::majority_reachable() const -> bool
{
    const auto dead = std::count_if(entries_.begin(), entries_.end(), [](const auto& known) {
        return known.second.value.state == member_state::dead;
    });
    return serving_count() > 1 && serving_count() >= static_cast<std::size_t>(dead);
}

auto membership::make_message(peer_message_kind kind, std::uint64_t sequence) -> peer_message
{
    auto message =
        peer_message{kind, self_, sequence, {}, config_version_, proof_age_ms_, {}, {}, {}};
    // Continues after the member whose update was sent last, so that no update is starved.
    auto next = entries_.upper_bound(last_update_sent_);
    for (auto visited = std::size_t{0}; visited < entries_.size(); ++visited) {
        next = next == entries_.end() ? entries_.begin() : next;
        if (next->second.sends_left > 0) {
            next->second.sends_left -= 1;
            message.updates.push_back(next->second.value);
            last_update_sent_ = next->first;
        }
        if (message.updates.size() == max_updates) {
            break;
        }
        ++next;
    }
    return message;
}

auto membership::next_probe(time_point now) -> std::vector<outgoing>
{
    handle_missed_probe(now);
    expire_members(now);
    last_probe_ = now;
    if (probe_order_.empty()) {
        for (const auto& [name, known] : entries_) {
            if (known.value.state != member_state::left) {
                probe_order_.push_back(name);
            }
        }
        std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
    }
    auto messages = std::vector<outgoing>{};
    const auto sequence = next_sequence_++;
    if (probe_order_.empty()) {
        for (const auto& seed : seeds_) {
            messages.push_back({seed, make_message(peer_message_kind::ping, sequence)});
        }
        return messages;
    }
    const auto name = probe_order_.back();
    probe_order_.pop_back();
    const auto known = entries_.find(name);
    if (known == entries_.end()) {
        return messages;
    }
    probe_ = probe{name, sequence, now, false};
    messages.push_back(
        {known->second.value.peer_address, make_message(peer_message_kind::ping, sequence)});
    return messages;
}

auto membership::indirect_probes(time_point now) -> std::vector<outgoing>
{
    auto messages = std::vector<outgoing>{};
    const auto due = probe_ && !probe_->indirect && now - probe_->sent >= options_.probe_period / 3;
    if (!due) {
        return messages;
    }
    probe_->indirect = true;
    const auto subject = entries_.find(probe_->instance);
    if (subject == entries_.end()) {
        return messages;
    }
    for (const auto& helper : random_members(options_.indirect_probes)) {
        if (helper.instance != probe_->instance) {
            auto message = make_message(peer_message_kind::indirect_ping, probe_->sequence);
            message.subject = subject->second.value.peer_address;
            messages.push_back({helper.peer_address, std::move(message)});
        }
    }
    return messages;
}

auto membership::gossip_messages() -> std::vector<outgoing>
{
    auto messages = std::vector<outgoing>{};
    if (gossip_rounds_left_ == 0) {
        return messages;
    }
    gossip_rounds_left_ -= 1;
    for (const auto& peer : random_members(options_.gossip_fanout)) {
        messages.push_back(
            {peer.peer_address, make_message(peer_message_kind::ping, next_sequence_++)});
    }
    return messages;
}

auto membership::random_members(std::size_t count) -> std::vector<member>
{
    auto candidates = std::vector<member>{};
    for (const auto& [name, known] : entries_) {
        if (known.value.serving()) {
            candidates.push_back(known.value);
        }
    }
    auto selected = std::vector<member>{};
    std::sample(candidates.begin(), candidates.end(), std::back_inserter(selected), count, random_);
    return selected;
}

auto membership::retransmissions() const -> std::size_t
{
    return retransmission_factor * static_cast<std::size_t>(std::bit_width(entries_.size() + 1));
}

auto membership::handle_missed_probe(time_point now) -> void
{
    if (!probe_) {
        return;
    }
    const auto known = entries_.find(probe_->instance);
    if (known != entries_.end() && known->second.value.serving()) {
        local_health_ = std::min(local_health_ + 1, options_.max_local_health);
    }
    if (known != entries_.end() && known->second.value.state < member_state::suspect) {
        auto suspected = known->second.value;
        suspected.state = member_state::suspect;
        apply_update(suspected, now, retransmissions());
    }
    probe_.reset();
    relayed_pings_.clear();
}

auto membership::expire_members(time_point now) -> void
{
    const auto suspicion_timeout =
        options_.probe_period *
        static_cast<std::int64_t>(options_.suspicion_periods * (local_health_ + 1));
    auto expired = std::vector<member>{};
    for (auto known = entries_.begin(); known != entries_.end();) {
        const auto age = now - known->second.changed;
        const auto state = known->second.value.state;
        if (state == member_state::suspect && age >= suspicion_timeout) {
            expired.push_back(known->second.value);
        }
        const auto removable = state == member_state::dead || state == member_state::left;
        const auto remove = removable && age >= options_.remove_dead_after;
        generation_ += remove ? 1 : 0;
        known = remove ? entries_.erase(known) : std::next(known);
    }
    for (auto& suspected : expired) {
        suspected.state = member_state::dead;
        apply_update(suspected, now, retransmissions());
    }
}

auto membership::apply_update(const member& update, time_point now, std::size_t sends) -> void
{
    if (update.instance == self_.instance) {
        refute(update);
        return;
    }
    const auto known = entries_.find(update.instance);
    if (known == entries_.end()) {
        entries_[update.instance] = {update, now, sends};
        generation_ += 1;
        return;
    }
    if (supersedes(update, known->second.value)) {
        known->second = {update, now, sends};
        generation_ += 1;
    }
}

auto membership::refute(const member& update) -> void
{
    if (update.incarnation < self_.incarnation || update.state <= self_.state) {
        return;
    }
    self_.incarnation = update.incarnation + 1;
    gossip_rounds_left_ = std::max<std::size_t>(gossip_rounds_left_, 2);
}

auto membership::update_sender(const member& sender, time_point now) -> void
{
    const auto known = entries_.find(sender.instance);
    const auto superseded = known != entries_.end() &&
                            known->second.value.incarnation == sender.incarnation &&
                            known->second.value.state > sender.state;
    if (superseded) {
        known->second.sends_left = std::max<std::size_t>(known->second.sends_left, 1);
        return;
    }
    apply_update(sender, now, retransmissions());
}

} // namespace knapweedchute
