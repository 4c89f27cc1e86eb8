#include <knapweedchute/config/object_reader.hpp>
#include <knapweedchute/core/log.hpp>
#include <knapweedchute/runtime/move_agent.hpp>

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

auto log_verdict(const service_spec& service, move_fault fault, const version_tally& old_version,
                 const version_tally& new_version) -> void
{
    log_line.warning("Version stopped.", {{"service", service.name},
                                          {"version", service.move->to},
                                          {"fault", std::string{to_string(fault)}},
                                          {"old", counts_text(old_version)},
                                          {"new", counts_text(new_version)}});
}

} // namespace

auto report_key(move_key move) -> std::string
{
    return "move." + std::to_string(move);
}

auto encode_report(const move_report& report) -> std::string
{
    return nlohmann::json{{"service", report.service},
                          {"version", report.version},
                          {"result", to_string(report.result)},
                          {"fault", to_string(report.fault)}}
        .dump();
}

auto decode_report_result(const std::string& text) -> move_result
{
    auto reason = error{};
    const auto json = parse_json(text, reason);
    const auto name = json && json->is_object() ? json->value("result", std::string{}) : "";
    for (const auto result : {move_result::finished, move_result::taken_back}) {
        if (name == to_string(result)) {
            return result;
        }
    }
    return move_result::running;
}

move_agent::move_agent(configuration_holder& holder, query_engine& engine, std::uint64_t source)
    : holder_{&holder}, engine_{&engine}, source_{source}
{
}

auto move_agent::advance(std::int64_t unix_s) -> void
{
    const auto accepted = holder_->current();
    if (!accepted) {
        return;
    }
    auto declared = std::set<move_key>{};
    for (const auto& service : accepted->file.services) {
        if (service.move) {
            declared.insert(key_of_move(service));
            advance_service(service, unix_s);
        }
    }
    const auto lock = std::lock_guard{mutex_};
    evidence_.keep_only(declared);
    std::erase_if(wanted_, [&](const auto& item) { return !declared.contains(item.first); });
}

auto move_agent::merge(const std::vector<evidence_row>& rows) -> void
{
    const auto lock = std::lock_guard{mutex_};
    for (const auto& row : rows) {
        evidence_.merge(row);
    }
}

auto move_agent::next_rows(std::size_t count) -> std::vector<evidence_row>
{
    const auto lock = std::lock_guard{mutex_};
    return evidence_.next_rows(count);
}

auto move_agent::wanted_reports() const -> std::vector<move_report>
{
    const auto lock = std::lock_guard{mutex_};
    auto reports = std::vector<move_report>{};
    for (const auto& [key, report] : wanted_) {
        reports.push_back(report);
    }
    return reports;
}

auto move_agent::on_recorded(move_key move, move_result result) -> void
{
    const auto lock = std::lock_guard{mutex_};
    evidence_.record(move, result);
    wanted_.erase(move);
}

auto move_agent::dump() const -> nlohmann::json
{
    const auto lock = std::lock_guard{mutex_};
    auto json = nlohmann::json::object();
    for (const auto& [service, decision] : decisions_) {
        json[service] = {{"share_permil", decision.share_permil},
                         {"wanted", to_string(decision.wanted)},
                         {"fault", to_string(decision.fault)}};
    }
    return json;
}

auto move_agent::advance_service(const service_spec& service, std::int64_t unix_s) -> void
{
    const auto key = key_of_move(service);
    const auto counts = engine_->tallies(service.name, *service.move);
    const auto count_of = [&](const std::string& version) {
        const auto found = counts.find(version);
        return found == counts.end() ? version_tally{} : found->second;
    };
    auto decision = move_decision{};
    {
        const auto lock = std::lock_guard{mutex_};
        evidence_.merge({key, source_, count_of(service.version), count_of(service.move->to),
                         move_fault::none, move_result::running});
        const auto [old_version, new_version] = evidence_.total(key);
        decision = decide_move(*service.move, {old_version, new_version, evidence_.latched(key),
                                               evidence_.recorded(key), unix_s});
        if (decision.fault != evidence_.latched(key)) {
            log_verdict(service, decision.fault, old_version, new_version);
        }
        evidence_.latch(key, decision.fault);
        decisions_[service.name] = decision;
        if (decision.wanted != move_result::running) {
            wanted_[key] = {key, service.name, service.move->to, decision.wanted, decision.fault};
        }
    }
    engine_->set_new_version_share(service.name, decision.share_permil);
}

} // namespace knapweedchute
