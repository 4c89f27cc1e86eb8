#include <knapweedchute/core/log.hpp>
#include <knapweedchute/move/move_keeper.hpp>

#include <xxhash.h>

#include <utility>

namespace knapweedchute {
namespace {

/// Share of a version on trial: below the tenth of all requests that a bad one may ever get.
constexpr auto trial_permil = std::int64_t{80};
/// Part of the ordered time after which a version without a fault is handed everything.
constexpr auto trial_part = 0.7;
/// Part of the ordered time after which a version that got too little is taken back.
constexpr auto patience_part = 0.9;
/// From the hand-over until the old targets may stop: news of it must have come to all instances
/// (a second at most where the store is well), and what is in progress must have ended.
constexpr auto hand_over_time = milliseconds{3'000};
const auto log_line = logger{"move"};

auto part_of(milliseconds whole, double part) -> std::int64_t
{
    return static_cast<std::int64_t>(static_cast<double>(whole.count()) * part);
}

auto summary_of(const version_tally& counts) -> std::string
{
    return std::to_string(counts.queries) + " requests, " + std::to_string(counts.incomplete) +
           " failed, slow in " + std::to_string(counts.slow) + " of " +
           std::to_string(counts.intervals) + " intervals";
}

} // namespace

auto key_of_move(const move_order& order) -> move_key
{
    const auto text = order.service + '\0' + order.to + '\0' + std::to_string(order.number);
    return XXH3_64bits(text.data(), text.size());
}

move_keeper::move_keeper(target_registry& registry, version_watch& watch, std::uint64_t source)
    : registry_{&registry}, watch_{&watch}, source_{source}
{
}

auto move_keeper::order(const move_order& wanted) -> void
{
    const auto known = moves_.find(wanted.service);
    if (known != moves_.end() && known->second.order.number >= wanted.number) {
        return;
    }
    auto started = moving{};
    started.order = wanted;
    watch_->begin(wanted.service, wanted.to);
    registry_->set_version_rule(wanted.service, version_rule{wanted.to, version_use::held, 0});
    moves_[wanted.service] = std::move(started);
    log_line.info("Move ordered.", {{"service", wanted.service},
                                    {"version", wanted.to},
                                    {"order", std::to_string(wanted.number)},
                                    {"ms", std::to_string(wanted.duration.count())}});
}

auto move_keeper::withdraw(const std::string& service) -> void
{
    if (moves_.erase(service) > 0) {
        watch_->end(service);
        registry_->set_version_rule(service, std::nullopt);
        log_line.info("Order withdrawn.", {{"service", service}});
    }
}

auto move_keeper::keep_only(const std::set<std::string>& services) -> void
{
    auto gone = std::vector<std::string>{};
    for (const auto& [service, one] : moves_) {
        if (!services.contains(service)) {
            gone.push_back(service);
        }
    }
    for (const auto& service : gone) {
        withdraw(service);
    }
}

auto move_keeper::on_record(const std::string& service, const move_record& stored, time_point now)
    -> void
{
    const auto known = moves_.find(service);
    if (known == moves_.end() || known->second.order.number != stored.order ||
        known->second.stored == stored) {
        return;
    }
    known->second.stored = stored;
    known->second.stored_since = now;
    known->second.wanted.reset();
    evidence_.record(key_of_move(known->second.order), stored.result);
    log_line.info("Move recorded.", {{"service", service},
                                     {"version", stored.to},
                                     {"handed_over", stored.handed_over ? "true" : "false"},
                                     {"result", std::string{to_string(stored.result)}}});
}

auto move_keeper::merge(const std::vector<evidence_row>& rows) -> void
{
    for (const auto& row : rows) {
        evidence_.merge(row);
    }
}

auto move_keeper::advance(time_point now, std::int64_t unix_ms) -> void
{
    auto ordered = std::set<move_key>{};
    for (auto& [service, one] : moves_) {
        ordered.insert(key_of_move(one.order));
        advance_one(one, now, unix_ms);
    }
    evidence_.keep_only(ordered);
}

auto move_keeper::wanted() const -> std::vector<wanted_record>
{
    auto records = std::vector<wanted_record>{};
    for (const auto& [service, one] : moves_) {
        if (one.wanted) {
            records.push_back(*one.wanted);
        }
    }
    return records;
}

auto move_keeper::next_rows(std::size_t count) -> std::vector<evidence_row>
{
    return evidence_.next_rows(count);
}

auto move_keeper::decide(const moving& one, std::int64_t unix_ms) -> move_decision
{
    const auto key = key_of_move(one.order);
    const auto begun = one.stored ? one.stored->begun_unix_ms : unix_ms;
    const auto finish_by = begun + part_of(one.order.duration, trial_part);
    const auto spec = move_spec{one.order.to, finish_by, {trial_permil}};
    const auto [old_version, new_version] = evidence_.total(key);
    auto decision = decide_move(
        spec, {old_version, new_version, evidence_.latched(key), evidence_.recorded(key), unix_ms});
    const auto patient = unix_ms < begun + part_of(one.order.duration, patience_part);
    if (decision.fault == move_fault::too_little_evidence && patient) {
        return {trial_permil, move_result::running, move_fault::none};
    }
    if (decision.fault != move_fault::none && evidence_.latched(key) == move_fault::none) {
        evidence_.latch(key, decision.fault);
        log_line.warning("Version stopped.", {{"service", one.order.service},
                                              {"version", one.order.to},
                                              {"fault", std::string{to_string(decision.fault)}},
                                              {"old", summary_of(old_version)},
                                              {"new", summary_of(new_version)}});
    }
    return decision;
}

auto move_keeper::advance_one(moving& one, time_point now, std::int64_t unix_ms) -> void
{
    const auto key = key_of_move(one.order);
    const auto counts = watch_->tallies(one.order.service);
    evidence_.merge({key, source_, counts.old_version, counts.new_version, move_fault::none,
                     move_result::running});
    const auto decision = decide(one, unix_ms);
    apply(one, decision);
    auto record = one.stored.value_or(move_record{one.order.to, one.order.number, unix_ms});
    if (!one.stored) {
        want(one, record, now);
        return;
    }
    if (one.stored->result != move_result::running) {
        return;
    }
    if (decision.wanted == move_result::taken_back) {
        record.result = move_result::taken_back;
        want(one, record, now);
    } else if (decision.wanted == move_result::finished && !one.stored->handed_over) {
        record.handed_over = true;
        want(one, record, now);
    } else if (one.stored->handed_over && now - one.stored_since >= hand_over_time) {
        record.result = move_result::finished;
        want(one, record, now);
    }
}

auto move_keeper::want(moving& one, const move_record& record, time_point now) -> void
{
    const auto since = one.wanted ? one.wanted->since : now;
    const auto unlike = !one.wanted || one.wanted->record.result != record.result ||
                        one.wanted->record.handed_over != record.handed_over;
    if (unlike) {
        one.wanted = wanted_record{one.order.service, record, since};
    }
}

auto move_keeper::apply(const moving& one, const move_decision& decision) -> void
{
    const auto handed_over =
        one.stored && (one.stored->handed_over || one.stored->result == move_result::finished);
    auto rule = version_rule{one.order.to, version_use::held, 0};
    const auto taken_back = decision.fault != move_fault::none ||
                            (one.stored && one.stored->result == move_result::taken_back);
    if (!taken_back && handed_over) {
        rule.use = version_use::preferred;
    } else if (!taken_back) {
        rule.use = version_use::on_trial;
        rule.share_permil = trial_permil;
    }
    const auto* in_force = registry_->rule_of(one.order.service);
    if (in_force == nullptr || *in_force != rule) {
        registry_->set_version_rule(one.order.service, rule);
    }
}

} // namespace knapweedchute
