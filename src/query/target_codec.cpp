#include <knapweedchute/config/object_reader.hpp>
#include <knapweedchute/query/part_answer_parser.hpp>
#include <knapweedchute/query/target_codec.hpp>

#include <algorithm>
#include <limits>

namespace knapweedchute {
namespace {

constexpr auto max_number = std::numeric_limits<std::int64_t>::max();

auto remaining_ms(time_point deadline, time_point now) -> std::int64_t
{
    const auto remaining = std::chrono::duration_cast<milliseconds>(deadline - now).count();
    return std::max<std::int64_t>(remaining, 1);
}

auto read_served_shard(object_reader& reader) -> served_shard
{
    const auto snapshot = reader.integer("snapshot", 0, max_number);
    const auto shards = reader.integer("shards", 1, max_shards);
    const auto shard = reader.integer("shard", 0, std::max<std::int64_t>(shards - 1, 0));
    return {static_cast<std::uint64_t>(snapshot), static_cast<std::uint32_t>(shards),
            static_cast<std::uint32_t>(shard)};
}

} // namespace

auto encode_part(const send_part& part, time_point now) -> std::string
{
    constexpr auto replace = nlohmann::json::error_handler_t::replace;
    auto body = std::string{};
    const auto append = [&body](const char* key, std::uint64_t value) {
        body += key;
        body += std::to_string(value);
    };
    append("{\"attempt\":", part.attempt);
    append(",\"snapshot\":", part.source.snapshot);
    append(",\"shards\":", part.source.shards);
    append(",\"shard\":", part.source.shard);
    append(",\"top\":", part.top);
    append(",\"deadline_ms\":", static_cast<std::uint64_t>(remaining_ms(part.deadline, now)));
    body += ",\"text\":";
    body += nlohmann::json(part.text).dump(-1, ' ', false, replace);
    body += '}';
    return body;
}

auto encode_run(const send_run& run, time_point now) -> std::string
{
    return nlohmann::json{{"id", run.id},
                          {"key", run.key},
                          {"shard", run.shard},
                          {"document", run.document},
                          {"deadline_ms", remaining_ms(run.deadline, now)}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto decode_part_answer(std::string_view body, error& reason) -> std::optional<part_answer>
{
    auto parser = impl::part_answer_parser{};
    const auto read = nlohmann::json::sax_parse(body, &parser);
    if (!read || !parser.complete()) {
        reason = {error_code::malformed, "answer", "not a whole answer of a target"};
        return std::nullopt;
    }
    return parser.take_answer();
}

auto decode_target_report(std::string_view body, error& reason) -> std::optional<target_report>
{
    return decode_object(body, reason, [](auto& reader) {
        auto report = target_report{};
        report.incarnation =
            static_cast<std::uint64_t>(reader.integer("incarnation", 0, max_number));
        report.uptime = milliseconds{reader.integer("uptime_ms", 0, max_number / 1'000'000)};
        report.leaving = reader.flag_or("leaving", false);
        reader.each("serving", [&](const auto& element, const auto& path) {
            auto item = reader.nested(element, path);
            report.serving.push_back(read_served_shard(item));
        });
        return report;
    });
}

auto decode_target_refusal(std::string_view body) -> attempt_failure
{
    auto reason = error{};
    const auto json = parse_json(body, reason);
    const auto name =
        json && json->is_object() && json->contains("refusal") && json->at("refusal").is_string()
            ? json->at("refusal").get<std::string>()
            : std::string{};
    for (const auto failure :
         {attempt_failure::shed, attempt_failure::leaving, attempt_failure::snapshot_gone}) {
        if (name == to_string(failure)) {
            return failure;
        }
    }
    return attempt_failure::failed;
}

} // namespace knapweedchute
