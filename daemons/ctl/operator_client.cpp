#include "operator_client.hpp"

#include <knapweedchute/config/operators_file_reader.hpp>
#include <knapweedchute/runtime/rollout_agent.hpp>

#include <algorithm>
#include <iostream>
#include <random>
#include <thread>
#include <utility>

namespace knapweedchute::ctl {
namespace {

constexpr auto call_timeout = milliseconds{2'000};
constexpr auto push_timeout = milliseconds{1'000};
constexpr auto poll_interval = milliseconds{100};
constexpr auto store_attempts = std::size_t{5};
constexpr auto change_attempts = 10;

auto new_change_id() -> std::string
{
    auto device = std::random_device{};
    auto draw = std::uniform_int_distribution<std::uint64_t>{};
    return digest_of(std::to_string(draw(device)) + std::to_string(draw(device)));
}

auto exit_code_of(error_code code) -> exit_code
{
    switch (code) {
    case error_code::conflict:
        return exit_code::conflict;
    case error_code::outcome_unknown:
        return exit_code::unknown;
    case error_code::store_unavailable:
        return exit_code::unavailable;
    default:
        return exit_code::bad_input;
    }
}

} // namespace

operator_client::operator_client(command_options options) : options_{std::move(options)} {}

auto operator_client::fetch(error& reason) -> std::optional<configuration>
{
    const auto where = store();
    if (!where) {
        reason = {error_code::invalid_value, "--platform", "expected IP:PORT"};
        return std::nullopt;
    }
    auto service = http_key_value_store{*where, call_timeout, counters_};
    auto accepted = configuration_store{service, store_attempts};
    const auto head = accepted.read_head(reason);
    if (!head) {
        return std::nullopt;
    }
    if (head->version == 0) {
        reason = {error_code::not_found, "configuration", "nothing was accepted yet"};
        return std::nullopt;
    }
    return accepted.read_file(*head, reason);
}

auto operator_client::check(const std::string& text) -> bool
{
    auto reader = operators_file_reader{};
    const auto file = reader.read(text);
    for (const auto& fault : reader.faults()) {
        std::cerr << to_string(fault) << '\n';
    }
    return file.has_value();
}

auto operator_client::apply(const std::string& text, std::uint64_t base) -> exit_code
{
    if (!check(text)) {
        return exit_code::bad_input;
    }
    const auto change_id = new_change_id();
    auto reason = error{};
    const auto version = accept(text, base, change_id, reason);
    if (!version) {
        return report_failure(reason, text);
    }
    tell_instances(*version, change_id, text);
    return report_in_force(*version);
}

auto operator_client::change(const edit& apply_edit) -> exit_code
{
    auto result = exit_code::conflict;
    for (auto attempt = 0; attempt < change_attempts && result == exit_code::conflict; ++attempt) {
        auto reason = error{};
        const auto current = fetch(reason);
        if (!current) {
            std::cerr << to_string(reason) << '\n';
            return exit_code::unavailable;
        }
        auto json = nlohmann::json::parse(current->text);
        if (!apply_edit(json)) {
            return exit_code::bad_input;
        }
        result = apply(json.dump(2), current->version);
    }
    return result;
}

auto operator_client::move_report_text(const std::string& service, error& reason)
    -> std::optional<std::string>
{
    const auto current = fetch(reason);
    if (!current) {
        return std::nullopt;
    }
    const auto* spec = current->file.find_service(service);
    if (spec == nullptr || !spec->rollout) {
        reason = {error_code::not_found, service, "no such service, or it declares no move"};
        return std::nullopt;
    }
    auto platform = http_key_value_store{*store(), call_timeout, counters_};
    const auto stored = platform.read(report_key(key_of_rollout(*spec)), reason);
    return stored ? std::optional{stored->value} : std::nullopt;
}

auto operator_client::versions() -> version_report
{
    auto report = version_report{};
    for (const auto& [instance, where] : admin_addresses()) {
        auto reason = error{};
        const auto response = client_.perform(
            {"GET", "http://" + where + "/v1/status", {}, {}, push_timeout}, reason);
        const auto json = response ? parse_json(response->body, reason) : std::nullopt;
        report[instance] =
            json && json->contains("configuration_version")
                ? std::optional{json->at("configuration_version").get<std::uint64_t>()}
                : std::nullopt;
    }
    return report;
}

auto operator_client::ask(const http_request& request) -> std::optional<http_response>
{
    auto reason = error{};
    auto response = client_.perform(request, reason);
    if (!response) {
        std::cerr << to_string(reason) << '\n';
    }
    return response;
}

auto operator_client::store() -> std::optional<address>
{
    auto reason = error{};
    return parse_address(options_.platform, reason);
}

auto operator_client::accept(const std::string& text, std::uint64_t base,
                             const std::string& change_id, error& reason)
    -> std::optional<std::uint64_t>
{
    const auto where = store();
    if (!where) {
        reason = {error_code::invalid_value, "--platform", "expected IP:PORT"};
        return std::nullopt;
    }
    auto service = http_key_value_store{*where, call_timeout, counters_};
    auto accepted = configuration_store{service, store_attempts};
    return accepted.apply(text, base, change_id, reason);
}

auto operator_client::report_failure(const error& reason, const std::string& text) -> exit_code
{
    std::cerr << (reason.code == error_code::outcome_unknown ? "unknown whether accepted: "
                                                             : "not accepted: ")
              << to_string(reason) << '\n';
    auto ignored = error{};
    if (reason.code == error_code::conflict) {
        const auto current = fetch(ignored);
        if (current) {
            const auto difference = nlohmann::json::diff(nlohmann::json::parse(text),
                                                         nlohmann::json::parse(current->text));
            std::cerr << "version " << current->version << " is accepted; difference to it:\n"
                      << difference.dump(2) << '\n';
        }
    }
    return exit_code_of(reason.code);
}

auto operator_client::tell_instances(std::uint64_t version, const std::string& change_id,
                                     const std::string& text) -> void
{
    const auto body =
        nlohmann::json{{"version", version}, {"change", change_id}, {"text", text}}.dump();
    for (const auto& where : options_.admins) {
        auto reason = error{};
        static_cast<void>(client_.perform({"POST",
                                           "http://" + where + "/v1/configuration",
                                           body,
                                           {"X-Operator-Key: " + options_.operator_key},
                                           push_timeout},
                                          reason));
    }
}

auto operator_client::report_in_force(std::uint64_t version) -> exit_code
{
    const auto end = steady_clock::now() + milliseconds{options_.wait_ms};
    auto report = version_report{};
    auto behind = std::vector<std::string>{};
    do {
        report = versions();
        behind.clear();
        for (const auto& [instance, in_force] : report) {
            if (!in_force || *in_force < version) {
                behind.push_back(instance);
            }
        }
        if (!behind.empty()) {
            std::this_thread::sleep_for(poll_interval);
        }
    } while (!behind.empty() && steady_clock::now() < end);
    const auto seen = report.size() - behind.size();
    if (options_.json) {
        std::cout << nlohmann::json{{"accepted_version", version},
                                    {"in_force", seen},
                                    {"instances", report.size()},
                                    {"not_in_force", behind}}
                         .dump()
                  << '\n';
    } else {
        std::cout << "accepted as version " << version << ", in force at " << seen << " of "
                  << report.size() << " instances\n";
        for (const auto& instance : behind) {
            std::cout << "not seen in force at " << instance << '\n';
        }
    }
    return behind.empty() && !report.empty() ? exit_code::success : exit_code::not_everywhere;
}

auto operator_client::admin_addresses() -> std::map<std::string, std::string>
{
    // The first instance that answers knows the others.
    for (const auto& where : options_.admins) {
        auto reason = error{};
        const auto response = client_.perform(
            {"GET", "http://" + where + "/v1/status", {}, {}, push_timeout}, reason);
        const auto json = response ? parse_json(response->body, reason) : std::nullopt;
        if (!json || !json->contains("members")) {
            continue;
        }
        auto addresses = std::map<std::string, std::string>{};
        for (const auto& known : json->at("members")) {
            const auto state = known.at("state").get<std::string>();
            if (state != "left" && state != "dead") {
                addresses[known.at("instance")] = known.at("admin_address");
            }
        }
        return addresses;
    }
    return {};
}

} // namespace knapweedchute::ctl
