#include <knapweedchute/core/log.hpp>
#include <knapweedchute/rollout/rollout_controller.hpp>

#include <xxhash.h>

#include <utility>

namespace knapweedchute {
namespace {

/// Trial share of the new version: below the tenth of all requests that a bad one may receive.
constexpr auto trial_share_permil = std::int64_t{80};
/// Fraction of the ordered duration after which a version without a fault is promoted.
constexpr auto trial_fraction = 0.7;
/// Fraction of the ordered duration after which too little evidence leads to a rollback.
constexpr auto evidence_wait_fraction = 0.9;
/// Delay from promotion until the old targets may stop: all instances must have received the
/// promotion (within a second while the store is available), and requests in progress must end.
constexpr auto finish_delay = milliseconds{3'000};
/// Time within which a record of an order that is written again is written again, too.
constexpr auto earlier_record_wait = milliseconds{5'000};
const auto log_line = logger{"move"};

auto fraction_of(milliseconds total, double fraction) -> std::int64_t
{
    return static_cast<std::int64_t>(static_cast<double>(total.count()) * fraction);
}

/// Whether a record undoes what another one of the same order had decided.
auto goes_back(const rollout_record& from, const rollout_record& to) -> bool
{
    const auto ended = from.result != rollout_result::running;
    return to.result == rollout_result::running && (ended || (from.promoted && !to.promoted));
}

auto summary_of(const version_tally& counts) -> std::string
{
    return std::to_string(counts.queries) + " requests, " + std::to_string(counts.incomplete) +
           " failed, slow in " + std::to_string(counts.slow) + " of " +
           std::to_string(counts.intervals) + " intervals";
}

} // namespace

auto key_of_rollout(const rollout_order& order) -> rollout_key
{
    const auto text = order.service + '\0' + order.to + '\0' + std::to_string(order.number);
    return XXH3_64bits(text.data(), text.size());
}

rollout_controller::rollout_controller(target_registry& registry, version_monitor& monitor,
                                       std::uint64_t source)
    : registry_{&registry}, monitor_{&monitor}, source_{source}
{
}

auto rollout_controller::on_order(const rollout_order& order) -> void
{
    const auto existing = rollouts_.find(order.service);
    if (existing != rollouts_.end()) {
        auto& known = existing->second;
        if (!is_later(order, known.order)) {
            return;
        }
        if (is_written_again(order, known.order)) {
            renumber(known, order);
            return;
        }
    }
    auto rollout = active_rollout{};
    rollout.order = order;
    monitor_->start_counting(order.service, order.to);
    registry_->set_version_rule(order.service, version_rule{order.to, version_use::held, 0});
    rollouts_[order.service] = std::move(rollout);
    log_line.info("Move ordered.", {{"service", order.service},
                                    {"version", order.to},
                                    {"order", std::to_string(order.number)},
                                    {"ms", std::to_string(order.duration.count())}});
}

auto rollout_controller::renumber(active_rollout& rollout, const rollout_order& order) -> void
{
    evidence_.rename(key_of_rollout(rollout.order), key_of_rollout(order));
    const auto moved = rollout.order.number != order.number;
    rollout.order = order;
    rollout.pending.reset();
    if (rollout.stored) {
        rollout.stored->order = order.number;
        rollout.stored->era = order.era;
        rollout.offers_again = true;
    }
    if (moved) {
        log_line.info("Order written again.", {{"service", order.service},
                                               {"version", order.to},
                                               {"order", std::to_string(order.number)},
                                               {"era", std::to_string(order.era)}});
    }
}

auto rollout_controller::on_record_lost(const std::string& service) -> void
{
    const auto known = rollouts_.find(service);
    if (known != rollouts_.end() && known->second.stored) {
        known->second.offers_again = true;
    }
}

auto rollout_controller::withdraw_order(const std::string& service) -> void
{
    if (rollouts_.erase(service) > 0) {
        monitor_->stop_counting(service);
        registry_->set_version_rule(service, std::nullopt);
        log_line.info("Order withdrawn.", {{"service", service}});
    }
}

auto rollout_controller::withdraw_orders_except(const std::set<std::string>& services) -> void
{
    auto withdrawn = std::vector<std::string>{};
    for (const auto& [service, rollout] : rollouts_) {
        if (!services.contains(service)) {
            withdrawn.push_back(service);
        }
    }
    for (const auto& service : withdrawn) {
        withdraw_order(service);
    }
}

auto rollout_controller::on_record(const std::string& service, const rollout_record& stored,
                                   time_point now) -> void
{
    const auto known = rollouts_.find(service);
    if (known == rollouts_.end()) {
        return;
    }
    auto& rollout = known->second;
    auto record = stored;
    // The release before writes no era.
    record.era = stored.era == 0 ? rollout.order.era : stored.era;
    if (record.order != rollout.order.number || record.era != rollout.order.era) {
        const auto earlier = record.era < rollout.order.era && record.to == rollout.order.to;
        if (earlier && !rollout.earlier_record_since) {
            rollout.earlier_record_since = now;
        }
        return;
    }
    if (rollout.stored && goes_back(*rollout.stored, record)) {
        rollout.offers_again = true;
        return;
    }
    if (std::exchange(rollout.offers_again, false)) {
        rollout.pending.reset();
    }
    if (rollout.stored == record) {
        return;
    }
    rollout.stored = record;
    rollout.stored_since = now;
    rollout.pending.reset();
    evidence_.record_result(key_of_rollout(rollout.order), record.result);
    log_line.info("Move recorded.", {{"service", service},
                                     {"version", record.to},
                                     {"handed_over", record.promoted ? "true" : "false"},
                                     {"result", std::string{to_string(record.result)}}});
}

auto rollout_controller::merge_evidence(const std::vector<evidence_row>& rows) -> void
{
    for (const auto& row : rows) {
        evidence_.merge(row);
    }
}

auto rollout_controller::advance(time_point now, std::int64_t unix_ms) -> void
{
    auto ordered_keys = std::set<rollout_key>{};
    for (auto& [service, rollout] : rollouts_) {
        ordered_keys.insert(key_of_rollout(rollout.order));
        advance_rollout(rollout, now, unix_ms);
    }
    evidence_.keep_only(ordered_keys);
}

auto rollout_controller::pending_records() const -> std::vector<pending_record>
{
    auto pending = std::vector<pending_record>{};
    for (const auto& [service, rollout] : rollouts_) {
        if (rollout.pending) {
            pending.push_back(*rollout.pending);
        }
    }
    return pending;
}

auto rollout_controller::next_rows(std::size_t count) -> std::vector<evidence_row>
{
    return evidence_.next_rows(count);
}

auto rollout_controller::decide(const active_rollout& rollout, std::int64_t unix_ms)
    -> rollout_decision
{
    const auto key = key_of_rollout(rollout.order);
    const auto begun_unix_ms = rollout.stored ? rollout.stored->begun_unix_ms : unix_ms;
    const auto finish_by_unix_ms =
        begun_unix_ms + fraction_of(rollout.order.duration, trial_fraction);
    // Both times are in milliseconds here; decide_rollout only compares them.
    const auto spec = rollout_spec{rollout.order.to, finish_by_unix_ms, {trial_share_permil}};
    const auto [old_version, new_version] = evidence_.total(key);
    auto decision = decide_rollout(spec, {old_version, new_version, evidence_.detected_fault(key),
                                          evidence_.recorded_result(key), unix_ms});
    const auto may_wait =
        unix_ms < begun_unix_ms + fraction_of(rollout.order.duration, evidence_wait_fraction);
    if (decision.fault == rollout_fault::too_little_evidence && may_wait) {
        return {trial_share_permil, rollout_result::running, rollout_fault::none};
    }
    if (decision.fault != rollout_fault::none &&
        evidence_.detected_fault(key) == rollout_fault::none) {
        evidence_.record_fault(key, decision.fault);
        log_line.warning("Version stopped.", {{"service", rollout.order.service},
                                              {"version", rollout.order.to},
                                              {"fault", std::string{to_string(decision.fault)}},
                                              {"old", summary_of(old_version)},
                                              {"new", summary_of(new_version)}});
    }
    return decision;
}

auto rollout_controller::advance_rollout(active_rollout& rollout, time_point now,
                                         std::int64_t unix_ms) -> void
{
    const auto key = key_of_rollout(rollout.order);
    const auto counts = monitor_->tallies(rollout.order.service);
    evidence_.merge({key, source_, counts.old_version, counts.new_version, rollout_fault::none,
                     rollout_result::running});
    const auto decision = decide(rollout, unix_ms);
    apply_version_rule(rollout, decision);
    auto record =
        rollout.stored.value_or(rollout_record{rollout.order.to, rollout.order.number, unix_ms,
                                               false, rollout_result::running, rollout.order.era});
    if (!rollout.stored) {
        // Peers may know that the earlier record is of this order, and write it again.
        const auto waits = rollout.earlier_record_since &&
                           now - *rollout.earlier_record_since < earlier_record_wait;
        if (!waits) {
            set_pending_record(rollout, record, now);
        }
        return;
    }
    if (rollout.offers_again) {
        set_pending_record(rollout, record, now);
        return;
    }
    if (rollout.stored->result != rollout_result::running) {
        return;
    }
    if (decision.result_to_record == rollout_result::rolled_back) {
        record.result = rollout_result::rolled_back;
        set_pending_record(rollout, record, now);
    } else if (decision.result_to_record == rollout_result::finished && !rollout.stored->promoted) {
        record.promoted = true;
        set_pending_record(rollout, record, now);
    } else if (rollout.stored->promoted && now - rollout.stored_since >= finish_delay) {
        record.result = rollout_result::finished;
        set_pending_record(rollout, record, now);
    }
}

auto rollout_controller::set_pending_record(active_rollout& rollout, const rollout_record& record,
                                            time_point now) -> void
{
    const auto since = rollout.pending ? rollout.pending->since : now;
    const auto changed = !rollout.pending || rollout.pending->record.result != record.result ||
                         rollout.pending->record.promoted != record.promoted;
    if (changed) {
        rollout.pending = pending_record{rollout.order.service, record, since};
    }
}

auto rollout_controller::apply_version_rule(const active_rollout& rollout,
                                            const rollout_decision& decision) -> void
{
    const auto promoted = rollout.stored && (rollout.stored->promoted ||
                                             rollout.stored->result == rollout_result::finished);
    auto rule = version_rule{rollout.order.to, version_use::held, 0};
    const auto rolled_back =
        decision.fault != rollout_fault::none ||
        (rollout.stored && rollout.stored->result == rollout_result::rolled_back);
    if (!rolled_back && promoted) {
        rule.use = version_use::preferred;
    } else if (!rolled_back) {
        rule.use = version_use::on_trial;
        rule.share_permil = trial_share_permil;
    }
    const auto* active_rule = registry_->rule_for(rollout.order.service);
    if (active_rule == nullptr || *active_rule != rule) {
        registry_->set_version_rule(rollout.order.service, rule);
    }
}

} // namespace knapweedchute
