// knapweedctl: the operators' command line.
#include "ctl/commands.hpp"
#include "ctl/explain.hpp"

#include <CLI/CLI.hpp>

#include <functional>
#include <iostream>

namespace {

namespace ctl = knapweedchute::ctl;

constexpr auto exit_codes =
    "Exit codes: 0 done, 1 wrong command line, 2 faults in a file or value, 3 conflict,\n"
    "4 unknown whether accepted, 5 not accepted (no answer), 6 accepted but not seen in\n"
    "force everywhere in time, 7 refused.";

/// Everything that the command line can hold.
struct command_line
{
    ctl::command_options options;
    ctl::query_arguments query;
    ctl::post_arguments post;
    ctl::explain_arguments explained;
    std::string file;
    std::string name;
    std::string version;
    std::uint64_t base = 0;
    std::int64_t finish_by_unix_s = 0;
    std::function<ctl::exit_code()> run;
};

auto add_platform(CLI::App* command, command_line& line) -> void
{
    command->add_option("--platform", line.options.platform, "Platform's service, IP:PORT")
        ->required();
}

auto add_admins(CLI::App* command, command_line& line) -> void
{
    command->add_option("--admin", line.options.admins, "Admin addresses of instances, IP:PORT")
        ->required();
}

auto add_change_options(CLI::App* command, command_line& line) -> void
{
    add_platform(command, line);
    add_admins(command, line);
    command->add_option("--operator-key", line.options.operator_key, "Operator key")
        ->envname("KNAPWEEDCTL_OPERATOR_KEY")
        ->required();
    command->add_option("--wait-ms", line.options.wait_ms, "Time to wait until in force");
}

auto add_caller(CLI::App* command, command_line& line) -> void
{
    command->add_option("--caller", line.options.caller, "Caller address, IP:PORT")->required();
}

auto add_file_commands(CLI::App& app, command_line& line) -> void
{
    auto* check = app.add_subcommand("check", "Check an operators' file without applying it");
    check->add_option("file", line.file, "Operators' file")->required();
    check->callback([&] { line.run = [&] { return ctl::check_file(line.file); }; });

    auto* apply = app.add_subcommand("apply", "Apply an operators' file as a whole");
    apply->add_option("file", line.file, "Operators' file")->required();
    apply->add_option("--base", line.base, "Version the file was made against; 0 for the first")
        ->required();
    add_change_options(apply, line);
    apply->callback(
        [&] { line.run = [&] { return ctl::apply_file(line.options, line.file, line.base); }; });

    auto* fetch = app.add_subcommand("fetch", "Print the accepted operators' file");
    add_platform(fetch, line);
    fetch->callback([&] { line.run = [&] { return ctl::fetch_file(line.options); }; });
}

auto add_zone_command(CLI::App& app, command_line& line) -> void
{
    auto* zone = app.add_subcommand("zone", "Take an availability zone out, or back in");
    zone->require_subcommand(1);
    for (const auto out : {true, false}) {
        auto* command = zone->add_subcommand(out ? "out" : "in", out ? "Take out" : "Take in");
        command->add_option("name", line.name, "Availability zone")->required();
        add_change_options(command, line);
        command->callback([&line, out] {
            line.run = [&line, out] { return ctl::set_zone(line.options, line.name, out); };
        });
    }
}

auto add_follow_command(CLI::App& move, command_line& line) -> void
{
    auto* follow = move.add_subcommand("follow", "Show shares and the final report of a move");
    follow->add_option("service", line.name, "Service")->required();
    add_platform(follow, line);
    add_admins(follow, line);
    follow->callback(
        [&line] { line.run = [&line] { return ctl::follow_move(line.options, line.name); }; });
}

auto add_move_command(CLI::App& app, command_line& line) -> void
{
    auto* move = app.add_subcommand("move", "Move a service to another version");
    move->require_subcommand(1);
    auto* start = move->add_subcommand("start", "Start a move");
    start->add_option("service", line.name, "Service")->required();
    start->add_option("version", line.version, "Version that takes over")->required();
    start->add_option("--finish-by", line.finish_by_unix_s, "Set time, Unix seconds")->required();
    add_change_options(start, line);
    start->callback([&line] {
        line.run = [&line] {
            return ctl::start_move(line.options, line.name, line.version, line.finish_by_unix_s);
        };
    });
    add_follow_command(*move, line);
    auto* abort = move->add_subcommand("abort", "Take a move back");
    abort->add_option("service", line.name, "Service")->required();
    add_change_options(abort, line);
    abort->callback(
        [&line] { line.run = [&line] { return ctl::abort_move(line.options, line.name); }; });
}

auto add_view_commands(CLI::App& app, command_line& line) -> void
{
    auto* status = app.add_subcommand("status", "Show which version is in force where");
    add_admins(status, line);
    status->callback([&] { line.run = [&] { return ctl::show_status(line.options); }; });

    auto* dump = app.add_subcommand("dump", "Print the state of instances");
    add_admins(dump, line);
    dump->callback([&] { line.run = [&] { return ctl::show_dump(line.options); }; });

    auto* addresses = app.add_subcommand("addresses", "Ask which addresses callers should use");
    add_caller(addresses, line);
    addresses->callback([&] { line.run = [&] { return ctl::show_addresses(line.options); }; });
}

auto add_explain_command(CLI::App& app, command_line& line) -> void
{
    auto* explain = app.add_subcommand("explain", "Tell from logs why a request ended as it did");
    explain->add_option("id", line.explained.request, "Identity of the request")->required();
    explain->add_option("files", line.explained.files, "Logs of instances; none: standard input");
    explain->callback(
        [&] { line.run = [&] { return ctl::explain(line.explained, line.options.json); }; });
}

auto add_request_commands(CLI::App& app, command_line& line) -> void
{
    auto* query = app.add_subcommand("query", "Send one search");
    query->add_option("service", line.query.service, "Service")->required();
    query->add_option("text", line.query.text, "What to search for")->required();
    query->add_option("--top", line.query.top, "Most hits");
    query->add_option("--deadline-ms", line.query.deadline_ms, "Time for the answer");
    add_caller(query, line);
    query->callback([&] { line.run = [&] { return ctl::send_query(line.options, line.query); }; });

    auto* post = app.add_subcommand("post", "Send one non-idempotent request");
    post->add_option("service", line.post.service, "Service")->required();
    post->add_option("key", line.post.key, "Selects the shard")->required();
    post->add_option("document", line.post.document, "Content")->required();
    post->add_option("--deadline-ms", line.post.deadline_ms, "Time for the answer");
    add_caller(post, line);
    post->callback([&] { line.run = [&] { return ctl::send_post(line.options, line.post); }; });
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto app = CLI::App{"Operators' command line of the knapweedchute query tier."};
    auto line = command_line{};
    app.footer(exit_codes);
    app.set_version_flag("--version", "knapweedctl " KNAPWEEDCHUTE_VERSION);
    app.add_flag("--json", line.options.json, "Print JSON for scripts");
    app.require_subcommand(1);
    app.fallthrough();
    add_file_commands(app, line);
    add_zone_command(app, line);
    add_move_command(app, line);
    add_view_commands(app, line);
    add_request_commands(app, line);
    add_explain_command(app, line);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& failure) {
        const auto code = app.exit(failure);
        return static_cast<int>(code == 0 ? ctl::exit_code::success : ctl::exit_code::usage);
    }
    return static_cast<int>(line.run());
}
