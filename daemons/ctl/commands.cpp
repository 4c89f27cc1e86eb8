#include "commands.hpp"

#include "operator_client.hpp"

#include <knapweedchute/config/object_reader.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace knapweedchute::ctl {
namespace {

constexpr auto grace = milliseconds{500};
constexpr auto dump_timeout = milliseconds{5'000};
constexpr auto status_ok = 200L;

auto read_text(const std::string& path) -> std::optional<std::string>
{
    auto file = std::ifstream{path};
    auto text = std::ostringstream{};
    text << file.rdbuf();
    if (!file) {
        std::cerr << "cannot read " << path << '\n';
        return std::nullopt;
    }
    return text.str();
}

auto print_reply(const std::optional<http_response>& response) -> exit_code
{
    if (!response) {
        return exit_code::unavailable;
    }
    std::cout << response->body << '\n';
    return response->status == status_ok ? exit_code::success : exit_code::refused;
}

auto print_hits(const nlohmann::json& answer) -> void
{
    const auto& coverage = answer.at("coverage");
    std::cout << "snapshot " << answer.at("snapshot") << ", version "
              << answer.at("version").get<std::string>() << ", coverage " << coverage.at("answered")
              << " of " << coverage.at("shards") << " shards\n";
    for (const auto& found : answer.at("hits")) {
        std::cout << "  " << found.at("score") << "  " << found.at("text").get<std::string>()
                  << '\n';
    }
}

auto find_named(nlohmann::json& list, const std::string& name) -> nlohmann::json*
{
    for (auto& item : list) {
        if (item.at("name") == name) {
            return &item;
        }
    }
    std::cerr << "nothing is named " << name << '\n';
    return nullptr;
}

} // namespace

auto check_file(const std::string& path) -> exit_code
{
    const auto text = read_text(path);
    if (!text || !operator_client::check(*text)) {
        return exit_code::bad_input;
    }
    std::cout << "the file is valid\n";
    return exit_code::success;
}

auto apply_file(const command_options& options, const std::string& path, std::uint64_t base)
    -> exit_code
{
    const auto text = read_text(path);
    return text ? operator_client{options}.apply(*text, base) : exit_code::bad_input;
}

auto fetch_file(const command_options& options) -> exit_code
{
    auto reason = error{};
    const auto current = operator_client{options}.fetch(reason);
    if (!current) {
        std::cerr << to_string(reason) << '\n';
        return exit_code::unavailable;
    }
    std::cerr << "version " << current->version << '\n';
    std::cout << current->text << '\n';
    return exit_code::success;
}

auto show_status(const command_options& options) -> exit_code
{
    const auto report = operator_client{options}.versions();
    auto json = nlohmann::json::object();
    for (const auto& [instance, version] : report) {
        json[instance] = version ? nlohmann::json(*version) : nlohmann::json(nullptr);
    }
    if (options.json) {
        std::cout << json.dump() << '\n';
        return report.empty() ? exit_code::unavailable : exit_code::success;
    }
    for (const auto& [instance, version] : report) {
        std::cout << instance << ": "
                  << (version ? "version " + std::to_string(*version) : "no answer") << '\n';
    }
    return report.empty() ? exit_code::unavailable : exit_code::success;
}

auto set_zone(const command_options& options, const std::string& zone, bool out) -> exit_code
{
    return operator_client{options}.change([&](auto& file) {
        auto* found = find_named(file.at("availability_zones"), zone);
        if (found != nullptr) {
            (*found)["out"] = out;
        }
        return found != nullptr;
    });
}

auto start_move(const command_options& options, const std::string& service,
                const std::string& version, std::int64_t finish_by_unix_s) -> exit_code
{
    return operator_client{options}.change([&](auto& file) {
        auto* found = find_named(file.at("services"), service);
        if (found != nullptr) {
            (*found)["move"] = {{"to", version},
                                {"finish_by_unix_s", finish_by_unix_s},
                                {"steps_permil", {10, 100, 500, 1'000}}};
        }
        return found != nullptr;
    });
}

auto abort_move(const command_options& options, const std::string& service) -> exit_code
{
    return operator_client{options}.change([&](auto& file) {
        auto* found = find_named(file.at("services"), service);
        if (found != nullptr) {
            found->erase("move");
        }
        return found != nullptr;
    });
}

auto follow_move(const command_options& options, const std::string& service) -> exit_code
{
    auto client = operator_client{options};
    auto reason = error{};
    const auto report = client.move_report_text(service, reason);
    if (!report) {
        std::cerr << to_string(reason) << '\n';
        return reason.code == error_code::not_found ? exit_code::bad_input : exit_code::unavailable;
    }
    for (const auto& where : options.admins) {
        const auto response =
            client.ask({"GET", "http://" + where + "/v1/dump", {}, {}, dump_timeout});
        const auto json = response ? parse_json(response->body, reason) : std::nullopt;
        if (json && json->contains("moves") && json->at("moves").contains(service)) {
            std::cout << json->at("instance").get<std::string>() << ": "
                      << json->at("moves").at(service).dump() << '\n';
        }
    }
    std::cout << (report->empty() ? "no final report yet" : *report) << '\n';
    return exit_code::success;
}

auto show_dump(const command_options& options) -> exit_code
{
    auto client = operator_client{options};
    auto result = exit_code::success;
    for (const auto& where : options.admins) {
        const auto code =
            print_reply(client.ask({"GET", "http://" + where + "/v1/dump", {}, {}, dump_timeout}));
        result = code == exit_code::success ? result : code;
    }
    return result;
}

auto show_addresses(const command_options& options) -> exit_code
{
    return print_reply(operator_client{options}.ask(
        {"GET", "http://" + options.caller + "/v1/addresses", {}, {}, dump_timeout}));
}

auto send_query(const command_options& options, const query_arguments& query) -> exit_code
{
    const auto body = nlohmann::json{{"request_id", "knapweedctl"},
                                     {"service", query.service},
                                     {"text", query.text},
                                     {"top", query.top},
                                     {"deadline_ms", query.deadline_ms}}
                          .dump();
    const auto response = operator_client{options}.ask({"POST",
                                                        "http://" + options.caller + "/v1/query",
                                                        body,
                                                        {},
                                                        milliseconds{query.deadline_ms} + grace});
    if (options.json || !response || response->status != status_ok) {
        return print_reply(response);
    }
    print_hits(nlohmann::json::parse(response->body));
    return exit_code::success;
}

auto send_post(const command_options& options, const post_arguments& post) -> exit_code
{
    auto client = operator_client{options};
    const auto issued = client.ask(
        {"POST", "http://" + options.caller + "/v1/request-ids", "{}", {}, dump_timeout});
    if (!issued || issued->status != status_ok) {
        return print_reply(issued);
    }
    const auto id = nlohmann::json::parse(issued->body).at("request_id").get<std::string>();
    const auto body = nlohmann::json{{"request_id", id},
                                     {"service", post.service},
                                     {"key", post.key},
                                     {"document", post.document},
                                     {"deadline_ms", post.deadline_ms}}
                          .dump();
    return print_reply(client.ask({"POST",
                                   "http://" + options.caller + "/v1/run",
                                   body,
                                   {},
                                   milliseconds{post.deadline_ms} + grace}));
}

} // namespace knapweedchute::ctl
