#include "explain.hpp"

#include <knapweedchute/core/parsed_line.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

namespace knapweedchute::ctl {
namespace {

/// A line with where it came from: a file, or the instance that a collector has put before it.
struct sourced_line
{
    std::string source;
    parsed_line line;
};

/// What one log says: the lines of the request, and the latest line of each kind before its end.
struct story
{
    std::vector<sourced_line> steps;
    std::map<std::string, sourced_line> beliefs;
};

/// Parts whose lines tell what an instance believes of the world.
auto tells_belief(const parsed_line& line) -> bool
{
    static const auto parts =
        std::vector<std::string>{"config", "entry", "feed", "log", "move", "store"};
    return std::find(parts.begin(), parts.end(), line.part) != parts.end();
}

auto source_of(const std::string& text, const std::string& time, const std::string& file)
    -> std::string
{
    const auto end = time.empty() ? std::string::npos : text.find(time);
    auto words = std::istringstream{end == std::string::npos ? "" : text.substr(0, end)};
    auto last = file;
    for (auto word = std::string{}; words >> word;) {
        last = word;
    }
    return last;
}

auto read_lines(std::istream& input, const std::string& file, std::vector<sourced_line>& lines)
    -> void
{
    for (auto text = std::string{}; std::getline(input, text);) {
        if (auto line = parse_line(text)) {
            auto source = source_of(text, line->time, file);
            lines.push_back({std::move(source), std::move(*line)});
        }
    }
}

auto story_of(std::vector<sourced_line> lines, const std::string& request) -> story
{
    std::stable_sort(lines.begin(), lines.end(), [](const auto& left, const auto& right) {
        return left.line.time < right.line.time;
    });
    auto told = story{};
    for (const auto& one : lines) {
        if (one.line.value("request") == request) {
            told.steps.push_back(one);
        }
    }
    if (told.steps.empty()) {
        return told;
    }
    const auto& ended = told.steps.front();
    for (const auto& one : lines) {
        if (one.source == ended.source && one.line.time <= ended.line.time &&
            tells_belief(one.line)) {
            told.beliefs[one.line.part + ": " + one.line.sentence] = one;
        }
    }
    return told;
}

/// `0:send:x:cost1.0:of2,45:end:x:broken` as one step a line.
auto print_steps(const std::string& steps) -> void
{
    auto list = std::istringstream{steps};
    for (auto step = std::string{}; std::getline(list, step, ',');) {
        std::replace(step.begin(), step.end(), ':', ' ');
        std::cout << "      after " << step << '\n';
    }
}

auto print_line(const sourced_line& one) -> void
{
    std::cout << "  " << one.line.time << ' ' << one.source << ' ' << one.line.part << ": "
              << one.line.sentence;
    for (const auto& [key, value] : one.line.fields) {
        if (key != "steps" && key != "request") {
            std::cout << ' ' << key << '=' << value;
        }
    }
    std::cout << '\n';
    if (const auto steps = one.line.value("steps"); !steps.empty()) {
        print_steps(steps);
    }
}

auto json_of(const sourced_line& one) -> nlohmann::json
{
    auto json = nlohmann::json{{"time", one.line.time},
                               {"source", one.source},
                               {"part", one.line.part},
                               {"sentence", one.line.sentence}};
    for (const auto& [key, value] : one.line.fields) {
        json["fields"][key] = value;
    }
    return json;
}

auto print_json(const story& told) -> void
{
    auto json =
        nlohmann::json{{"steps", nlohmann::json::array()}, {"known", nlohmann::json::array()}};
    for (const auto& one : told.steps) {
        json["steps"].push_back(json_of(one));
    }
    for (const auto& [kind, one] : told.beliefs) {
        json["known"].push_back(json_of(one));
    }
    std::cout << json.dump(2) << '\n';
}

} // namespace

auto explain(const explain_arguments& wanted, bool json) -> exit_code
{
    auto lines = std::vector<sourced_line>{};
    for (const auto& path : wanted.files) {
        auto file = std::ifstream{path};
        if (!file) {
            std::cerr << "knapweedctl: cannot read " << path << '\n';
            return exit_code::bad_input;
        }
        read_lines(file, path, lines);
    }
    if (wanted.files.empty()) {
        read_lines(std::cin, "-", lines);
    }
    const auto told = story_of(std::move(lines), wanted.request);
    if (told.steps.empty()) {
        std::cerr << "knapweedctl: no line names request " << wanted.request
                  << "; good requests are sampled\n";
        return exit_code::refused;
    }
    if (json) {
        print_json(told);
        return exit_code::success;
    }
    std::cout << "request " << wanted.request << '\n';
    std::for_each(told.steps.begin(), told.steps.end(), print_line);
    std::cout << "known at " << told.steps.front().source << " then\n";
    for (const auto& [kind, one] : told.beliefs) {
        print_line(one);
    }
    return exit_code::success;
}

} // namespace knapweedchute::ctl
