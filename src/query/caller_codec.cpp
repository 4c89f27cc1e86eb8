#include <knapweedchute/config/object_reader.hpp>
#include <knapweedchute/query/caller_codec.hpp>

#include <limits>

namespace knapweedchute {
namespace {

constexpr auto max_hits = std::int64_t{1'000};
constexpr auto default_hits = std::int64_t{10};
constexpr auto max_deadline_ms = std::int64_t{60'000};
constexpr auto max_answer_value = std::int64_t{1'000'000};
constexpr auto max_request_id_bytes = std::size_t{256};
constexpr auto bad_request = 400U;
constexpr auto not_permitted = 403U;
constexpr auto not_found = 404U;
constexpr auto conflict = 409U;
constexpr auto too_large = 413U;
constexpr auto unavailable = 503U;
constexpr auto timed_out = 504U;

auto dump(const nlohmann::json& json) -> std::string
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto read_deadline(object_reader& reader) -> std::int64_t
{
    return reader.child("deadline_ms") == nullptr
               ? 0
               : reader.integer("deadline_ms", 1, max_deadline_ms);
}

auto read_request_id(object_reader& reader) -> std::string
{
    auto id = reader.text("request_id");
    if (id.size() > max_request_id_bytes) {
        reader.fault("request_id", error_code::too_large, "longer than 256 characters");
    }
    return id;
}

} // namespace

auto decode_search_call(std::string_view body, error& reason) -> std::optional<search_call>
{
    return decode_object(body, reason, [](auto& reader) {
        auto call = search_call{};
        call.request_id = read_request_id(reader);
        call.service = reader.text("service");
        call.text = reader.text_or("text", {});
        call.top = static_cast<std::uint32_t>(reader.integer_or("top", 1, max_hits, default_hits));
        call.deadline_ms = read_deadline(reader);
        call.answer_value = reader.integer_or("worth", 0, max_answer_value, 1);
        reader.finish();
        return call;
    });
}

auto decode_run_call(std::string_view body, error& reason) -> std::optional<run_call>
{
    return decode_object(body, reason, [](auto& reader) {
        auto call = run_call{};
        call.request_id = read_request_id(reader);
        call.service = reader.text("service");
        call.key = reader.text("key");
        call.document = reader.text("document");
        call.deadline_ms = read_deadline(reader);
        reader.finish();
        return call;
    });
}

auto encode_answer(const std::string& request_id, const query_answer& answer) -> std::string
{
    auto hits = nlohmann::json::array();
    for (const auto& item : answer.hits) {
        hits.push_back({{"document", item.document}, {"score", item.score}, {"text", item.text}});
    }
    return dump({{"request_id", request_id},
                 {"version", answer.version},
                 {"snapshot", answer.snapshot},
                 {"coverage", {{"answered", answer.answered}, {"shards", answer.shards}}},
                 {"missing", answer.missing},
                 {"hits", std::move(hits)}});
}

auto encode_run_answer(const std::string& request_id, const std::string& body) -> std::string
{
    auto reason = error{};
    const auto json = parse_json(body, reason);
    return dump({{"request_id", request_id},
                 {"outcome", to_string(outcome::ran)},
                 {"result", json.value_or(nlohmann::json(body))}});
}

auto encode_refusal(const std::string& request_id, const refusal& refused) -> std::string
{
    return dump({{"request_id", request_id},
                 {"refusal", to_string(refused.reason.code)},
                 {"where", refused.reason.where},
                 {"what", refused.reason.what},
                 {"outcome", to_string(refused.execution)}});
}

auto status_of(error_code code) noexcept -> unsigned
{
    switch (code) {
    case error_code::malformed:
    case error_code::invalid_value:
    case error_code::unknown_key:
    case error_code::not_authentic:
        return bad_request;
    case error_code::not_permitted:
        return not_permitted;
    case error_code::unknown_service:
    case error_code::not_found:
        return not_found;
    case error_code::conflict:
    case error_code::duplicate_request:
    case error_code::issued_elsewhere:
        return conflict;
    case error_code::too_large:
        return too_large;
    case error_code::deadline_exceeded:
        return timed_out;
    default:
        return unavailable;
    }
}

} // namespace knapweedchute
