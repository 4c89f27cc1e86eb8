#include <knapweedchute/config/object_reader.hpp>
#include <knapweedchute/core/log.hpp>
#include <knapweedchute/runtime/rollout_agent.hpp>

#include <utility>

namespace knapweedchute {
namespace {

const auto log_line = logger{"move"};

auto counts_text(const version_tally& counts) -> std::string
{
    return nlohmann::json{{"queries", counts.queries},
                          {"incomplete", counts.incomplete},
                          {"empty", counts.empty},
                          {"slow", counts.slow},
                          {"intervals", counts.intervals}}
        .dump();
}

auto log_version_stopped(const service_spec& service, rollout_fault fault,
                         const version_tally& old_version, const version_tally& new_version) -> void
{
    log_line.warning("Version stopped.", {{"service", service.name},
                                          {"version", service.rollout->to},
                                          {"fault", std::string{to_string(fault)}},
                                          {"old", counts_text(old_version)},
                                          {"new", counts_text(new_version)}});
}

} // namespace

auto report_key(rollout_key rollout) -> std::string
{
    return "move." + std::to_string(rollout);
}

auto encode_report(const rollout_report& report) -> std::string
{
    return nlohmann::json{{"service", report.service},
                          {"version", report.version},
                          {"result", to_string(report.result)},
                          {"fault", to_string(report.fault)}}
        .dump();
}

auto decode_report_result(const std::string& text) -> rollout_result
{
    auto reason = error{};
    const auto json = parse_json(text, reason);
    const auto name = json && json->is_object() ? json->value("result", std::string{}) : "";
    for (const auto result : {rollout_result::finished, rollout_result::rolled_back}) {
        if (name == to_string(result)) {
            return result;
        }
    }
    return rollout_result::running;
}

rollout_agent::rollout_agent(configuration_holder& holder, query_engine& engine,
                             std::uint64_t source)
    : holder_{&holder}, engine_{&engine}, source_{source}
{
}

auto rollout_agent::advance(std::int64_t unix_s) -> void
{
    const auto configuration = holder_->current();
    if (!configuration) {
        return;
    }
    auto declared = std::set<rollout_key>{};
    for (const auto& service : configuration->file.services) {
        if (service.rollout) {
            declared.insert(key_of_rollout(service));
            advance_service(service, unix_s);
        }
    }
    const auto lock = std::lock_guard{mutex_};
    evidence_.keep_only(declared);
    std::erase_if(pending_reports_,
                  [&](const auto& item) { return !declared.contains(item.first); });
}

auto rollout_agent::merge_evidence(const std::vector<evidence_row>& rows) -> void
{
    const auto lock = std::lock_guard{mutex_};
    for (const auto& row : rows) {
        evidence_.merge(row);
    }
}

auto rollout_agent::next_rows(std::size_t count) -> std::vector<evidence_row>
{
    const auto lock = std::lock_guard{mutex_};
    return evidence_.next_rows(count);
}

auto rollout_agent::pending_reports() const -> std::vector<rollout_report>
{
    const auto lock = std::lock_guard{mutex_};
    auto reports = std::vector<rollout_report>{};
    for (const auto& [key, report] : pending_reports_) {
        reports.push_back(report);
    }
    return reports;
}

auto rollout_agent::on_recorded(rollout_key rollout, rollout_result result) -> void
{
    const auto lock = std::lock_guard{mutex_};
    evidence_.record_result(rollout, result);
    pending_reports_.erase(rollout);
}

auto rollout_agent::dump() const -> nlohmann::json
{
    const auto lock = std::lock_guard{mutex_};
    auto json = nlohmann::json::object();
    for (const auto& [service, decision] : decisions_) {
        json[service] = {{"share_permil", decision.share_permil},
                         {"wanted", to_string(decision.result_to_record)},
                         {"fault", to_string(decision.fault)}};
    }
    return json;
}

auto rollout_agent::advance_service(const service_spec& service, std::int64_t unix_s) -> void
{
    const auto key = key_of_rollout(service);
    const auto counts = engine_->tallies(service.name, *service.rollout);
    const auto count_of = [&](const std::string& version) {
        const auto found = counts.find(version);
        return found == counts.end() ? version_tally{} : found->second;
    };
    auto decision = rollout_decision{};
    {
        const auto lock = std::lock_guard{mutex_};
        evidence_.merge({key, source_, count_of(service.version), count_of(service.rollout->to),
                         rollout_fault::none, rollout_result::running});
        const auto [old_version, new_version] = evidence_.total(key);
        decision = decide_rollout(*service.rollout,
                                  {old_version, new_version, evidence_.detected_fault(key),
                                   evidence_.recorded_result(key), unix_s});
        if (decision.fault != evidence_.detected_fault(key)) {
            log_version_stopped(service, decision.fault, old_version, new_version);
        }
        evidence_.record_fault(key, decision.fault);
        decisions_[service.name] = decision;
        if (decision.result_to_record != rollout_result::running) {
            pending_reports_[key] = {key, service.name, service.rollout->to,
                                     decision.result_to_record, decision.fault};
        }
    }
    engine_->set_new_version_share(service.name, decision.share_permil);
}

} // namespace knapweedchute
